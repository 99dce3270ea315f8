// Package faultproxy is a TCP proxy with named links whose faults are set by an admin
// HTTP endpoint or by the Go API. A link listens on one address and forwards to one target.
//
// A link whose target refuses connections refuses connections itself, because clients
// treat a refused connection as proof that the process is gone. It learns this from the
// first connection that it cannot forward, which it resets.
package faultproxy

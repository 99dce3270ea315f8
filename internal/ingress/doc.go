// Package ingress bounds what clients outside the operators' control can make a process hold: open
// connections, headers, bodies, and the memory needed to process a body. Book and Derive are pure
// bookkeeping; Guard applies them to a listener and an HTTP handler. The design is in
// docs/design/untrusted-clients.md.
package ingress

// Package peer exchanges messages between entry VMs by JSON-RPC 2.0 over TCP. It manages the
// connections, and detects and replaces unresponsive ones.
package peer

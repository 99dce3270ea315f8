// Package peer carries messages between daemons: jsonrpc2 over TCP by IP number.
// It owns connections and the detection of silent ones; it takes no decisions.
package peer

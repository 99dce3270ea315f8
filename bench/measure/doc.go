// Package measure measures the system: each experiment starts the real processes on
// loopback or drives a pure package, prints a table, and appends one JSON line per
// figure to a results file.
//
// All processes of an experiment share one machine, so processor times are those of the
// daemons alone, while latencies include the waits for a processor that callers,
// stand-ins and other programs cause.
package measure

// Package prove shows the system's invariants with real processes under injected
// faults. A scenario starts a cluster, puts load on it, injects its faults, heals them,
// and then compares what the callers saw, what the minions ran and what the report says.
// Every random choice follows from the seed that a run prints.
package prove

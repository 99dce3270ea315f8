// Package cluster runs the whole system as real processes on loopback: the platform's
// stand-in, minions, workers, entry daemons, and a fault-injecting proxy between all of
// them. Experiments and integration tests inject faults through it.
package cluster

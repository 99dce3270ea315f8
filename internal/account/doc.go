// Package account records what happens to jobs and to the fleet and builds reports from
// it. A fact is a job record or a fleet event. Each process batches its facts, replicates
// them to another entry VM until they are in the object store, and stores them there. A
// report merges the stored facts by job and lists the gaps in which facts may be missing.
package account

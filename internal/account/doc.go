// Package account keeps the truthful account of jobs and of the fleet: records are
// batched, copied to a peer until they are stored in the object store, merged by job
// and reported with explicit gaps.
package account

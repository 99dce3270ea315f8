// Package dispatch processes callers' requests on an entry VM: it authenticates and
// deduplicates a request, claims its request id, obtains a permit from the coordinator,
// sends the job to a minion, retries it, and records every step for the report.
package dispatch

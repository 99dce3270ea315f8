// Package upstream sends requests to minions over HTTP. It verifies that answers are
// complete, limits the number of connections to each minion, and classifies errors by
// whether the job may have run. Retries are left to its callers.
package upstream

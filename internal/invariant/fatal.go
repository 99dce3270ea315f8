//go:build invariantfatal

package invariant

// Fatal makes Check panic on a violation.
var Fatal = true

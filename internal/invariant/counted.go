//go:build !invariantfatal

package invariant

import "testing"

// Fatal makes Check panic on a violation. It is set in test binaries.
var Fatal = testing.Testing()

//go:build !invariantfatal

package invariant

import "testing"

// Fatal makes Check panic on a violation. By default it is set only in test binaries.
var Fatal = testing.Testing()

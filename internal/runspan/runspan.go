// Package runspan divides the numbers of runs among the holders of a site's lease.
//
// The platform wants the numbers of a task's runs to rise, whichever entry VM orders them: a minion rejects a
// start whose number is not above that of each run that was stopped or has ended there. A new holder does not
// know all numbers of the ones before, so it must not need to: a fencing token stands for a span of run
// numbers, those of a higher token are higher, and no two holders own the same token.
//
// Invariant: a holder orders a run only if its number belongs to a token that the stored lease names as the
// holder's own, see lease.Row. The first token of each later holder is higher than that.
package runspan

// Size is how many run numbers of each task belong to one token. Entry VMs of all versions must agree on it.
const Size Spans = 1000

// Spans is the number of run numbers per token.
type Spans int

// First returns the lowest run number of a token, which is 1 or higher.
func (s Spans) First(token uint64) int { return int(token-1)*int(s) + 1 }

// Last returns the highest run number of a token.
func (s Spans) Last(token uint64) int { return int(token) * int(s) }

// Token returns the token that a run number, which is 1 or higher, belongs to.
func (s Spans) Token(run int) uint64 { return uint64((run-1)/int(s)) + 1 }

// Wanted returns the token up to which a holder should own all, if highest is the highest run number that it
// has given to any task. It is higher than that of the number itself once half of the span is used, so that
// the next one is usually stored before it is needed.
func (s Spans) Wanted(highest int) uint64 { return s.Token(highest + int(s)/2) }

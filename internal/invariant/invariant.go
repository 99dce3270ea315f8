// Package invariant reports violations of the system's invariants. A violation is logged and counted
// in expvar under "invariant_violations". If Fatal is set (by the build tag invariantfatal, and in
// test binaries), it also panics.
package invariant

import (
	"expvar"
	"fmt"

	"github.com/rs/zerolog/log"
)

// ID identifies an invariant in docs/design.md, such as "I4".
type ID string

const (
	AvailabilityBudget     ID = "I1"
	OnePool                ID = "I2"
	KeyAuthorizes          ID = "I3"
	TeamLimit              ID = "I4"
	CompleteResponse       ID = "I5"
	NoWorkAfterRefusal     ID = "I6"
	AtMostOnce             ID = "I7"
	NoWorkWhenOutOfService ID = "I8"
	GracefulStop           ID = "I9"
	ConfigNeverReverts     ID = "I10"
	FencingToken           ID = "I11"
)

// Violation is the value with which Check panics.
type Violation string

var violations = expvar.NewMap("invariant_violations")

// Check reports a violation of the invariant id if ok is false, and returns ok. The message is
// formatted as by fmt.Sprintf.
func Check(ok bool, id ID, format string, args ...any) bool {
	if ok {
		return true
	}
	violations.Add(string(id), 1)
	msg := fmt.Sprintf(format, args...)
	log.Error().Str("part", "invariant").Str("id", string(id)).Msg(msg)
	if Fatal {
		panic(Violation("invariant " + string(id) + " violated: " + msg))
	}
	return false
}

// Count returns the number of violations of id since process start.
func Count(id ID) int64 {
	if v, ok := violations.Get(string(id)).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

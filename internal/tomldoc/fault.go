package tomldoc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is an invalid, missing or unknown field, or a syntax error, in a file.
type Fault struct {
	File string `json:"file"`
	// Line counts from 1; 0 refers to the whole file.
	Line  int    `json:"line"`
	Field string `json:"field"`
	Found string `json:"found"`
	// Expected describes the values that are accepted.
	Expected string `json:"expected"`
	// Warning is set if the fault does not prevent the use of the file.
	Warning bool `json:"warning,omitempty"`
}

func (f Fault) String() string {
	level := "error"
	if f.Warning {
		level = "warning"
	}
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Field == "" {
		return fmt.Sprintf("%s: %s: found %s, expected %s", place, level, f.Found, f.Expected)
	}
	return fmt.Sprintf("%s: %s: %s: found %s, expected %s", place, level, f.Field, f.Found, f.Expected)
}

// Faults lists the faults of one or more files. It implements error.
type Faults []Fault

// Error returns all faults, one per line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Errors returns the faults that are not warnings.
func (fs Faults) Errors() Faults { return fs.filter(false) }

// Warnings returns the warnings.
func (fs Faults) Warnings() Faults { return fs.filter(true) }

// Err returns the faults that are not warnings as an error, or nil if there are none.
func (fs Faults) Err() error {
	if !fs.Failed() {
		return nil
	}
	return fs.Errors()
}

// Failed reports whether any fault is not a warning.
func (fs Faults) Failed() bool {
	return slices.ContainsFunc(fs, func(f Fault) bool { return !f.Warning })
}

// Sort orders the faults by file, line and field and removes exact duplicates.
func (fs *Faults) Sort() {
	slices.SortStableFunc(*fs, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Field, b.Field))
	})
	*fs = slices.Compact(*fs)
}

func (fs Faults) filter(warning bool) Faults {
	var out Faults
	for _, f := range fs {
		if f.Warning == warning {
			out = append(out, f)
		}
	}
	return out
}

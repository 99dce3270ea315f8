package tomldoc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one fault in a file.
type Fault struct {
	File string `json:"file"`
	// Line counts from 1; 0 means the file as a whole.
	Line  int    `json:"line"`
	Field string `json:"field"`
	Found string `json:"found"`
	// Expected is the value or the rule that would be accepted.
	Expected string `json:"expected"`
	// Warning is set if the file can be used all the same.
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

// Faults lists faults of a set of files.
type Faults []Fault

// Error returns all faults, one a line.
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

// Failed reports whether any fault is more than a warning.
func (fs Faults) Failed() bool {
	return slices.ContainsFunc(fs, func(f Fault) bool { return !f.Warning })
}

// Sort orders faults by file, line and field and removes exact repetitions.
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

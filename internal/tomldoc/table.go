package tomldoc

import (
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// MaxFaults limits the faults reported for a set of files, so that a large file of the
// wrong kind does not produce a report larger than itself. The remaining faults are reported
// once these are fixed.
const MaxFaults = 1000

// maxFoundBytes limits the part of a value that a fault shows, in bytes.
const maxFoundBytes = 80

// document is the state that all tables of a file share.
type document struct {
	name   string
	lines  *lineIndex
	faults *Faults
}

// Table is a table of a TOML file. It is not safe for concurrent use.
type Table struct {
	doc    *document
	path   string
	values map[string]any
	// fieldsRead holds the names of fields that were read, faulty those of fields with a
	// fault other than a warning.
	fieldsRead map[string]bool
	faulty     map[string]bool
}

// Parse parses the text of a file; name is the file name that faults show. It adds a fault
// and returns nil if the text is longer than maxBytes or is not valid TOML.
func Parse(name, text string, maxBytes int, faults *Faults) *Table {
	if len(text) > maxBytes {
		*faults = append(*faults, Fault{File: name, Found: fmt.Sprintf("%d bytes", len(text)), Expected: fmt.Sprintf("at most %d bytes", maxBytes)})
		return nil
	}
	values := map[string]any{}
	if err := toml.NewDecoder(strings.NewReader(text)).Decode(&values); err != nil {
		*faults = append(*faults, syntaxFault(name, err))
		return nil
	}
	d := &document{name: name, lines: newLineIndex([]byte(text)), faults: faults}
	return d.table("", values)
}

func syntaxFault(name string, err error) Fault {
	f := Fault{File: name, Found: strings.TrimPrefix(err.Error(), "toml: "), Expected: "valid TOML"}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		f.Line, _ = de.Position()
		f.Field = strings.Join(de.Key(), ".")
	}
	return f
}

func (d *document) table(path string, values map[string]any) *Table {
	return &Table{doc: d, path: path, values: values, fieldsRead: map[string]bool{}, faulty: map[string]bool{}}
}

// File returns the name of the table's file.
func (t *Table) File() string { return t.doc.name }

// Line returns the line of a field, or that of the table if field is empty or absent from the
// file.
func (t *Table) Line(field string) int {
	if l, ok := t.doc.lines.lines[joinPath(t.path, field)]; ok && field != "" {
		return l
	}
	return t.doc.lines.lines[t.path]
}

// Fault adds a fault for a field; an empty field refers to the table.
func (t *Table) Fault(field, found, expected string) { t.add(field, found, expected, false) }

// Warn adds a warning for a field; an empty field refers to the table.
func (t *Table) Warn(field, found, expected string) { t.add(field, found, expected, true) }

func (t *Table) add(field, found, expected string, warning bool) {
	t.faulty[field] = t.faulty[field] || !warning
	if len(*t.doc.faults) >= MaxFaults && (warning || t.doc.faults.Failed()) {
		return
	}
	name := t.path
	if field != "" {
		name = joinPath(t.path, field)
	}
	*t.doc.faults = append(*t.doc.faults, Fault{
		File: t.doc.name, Line: t.Line(field), Field: name, Found: truncate(found), Expected: expected, Warning: warning,
	})
}

// Has reports whether the field is present.
func (t *Table) Has(field string) bool {
	_, ok := t.values[field]
	return ok
}

// Valid reports whether none of the fields has a fault. Rules that compare fields apply
// only to valid ones, because a field with a fault is read as its default.
func (t *Table) Valid(fields ...string) bool {
	return !slices.ContainsFunc(fields, func(f string) bool { return t.faulty[f] })
}

func (t *Table) get(field string) (any, bool) {
	t.fieldsRead[field] = true
	v, ok := t.values[field]
	return v, ok
}

// missing adds a fault for an absent field if it is required.
func (t *Table) missing(field string, required bool, expected string) {
	if required {
		t.Fault(field, "nothing", expected)
	}
}

// StringRule defines the accepted values of a string field.
type StringRule struct {
	Required bool
	Default  string
	// OK reports whether a value is accepted; nil accepts every value.
	OK func(string) bool
	// Expected describes the accepted values.
	Expected string
	// Secret excludes the value from faults.
	Secret bool
}

// String reads a string. It returns the default if the field is absent or has a fault.
func (t *Table) String(field string, r StringRule) string {
	v, ok := t.get(field)
	if !ok {
		t.missing(field, r.Required, r.Expected)
		return r.Default
	}
	s, ok := v.(string)
	if !ok || (r.OK != nil && !r.OK(s)) {
		found := describe(v)
		if r.Secret {
			found = "a value that is not accepted"
		}
		t.Fault(field, found, r.Expected)
		return r.Default
	}
	return s
}

// Strings reads a list of distinct strings, each of which must satisfy the rule. Elements with a
// fault are left out.
func (t *Table) Strings(field string, r StringRule) []string {
	v, ok := t.get(field)
	if !ok {
		t.missing(field, r.Required, "a list of "+r.Expected)
		return nil
	}
	list, ok := v.([]any)
	if !ok || (r.Required && len(list) == 0) {
		t.Fault(field, describe(v), "a list of "+r.Expected)
		return nil
	}
	var out []string
	seen := make(map[string]bool, len(list))
	for i, e := range list {
		s, ok := e.(string)
		switch {
		case !ok || (r.OK != nil && !r.OK(s)):
			t.Fault(elementPath(field, i), describe(e), r.Expected)
		case seen[s]:
			t.Fault(elementPath(field, i), describe(e)+" twice", "each value once")
		default:
			seen[s] = true
			out = append(out, s)
		}
	}
	return out
}

// IntRule defines the accepted values of an integer field.
type IntRule struct {
	Required bool
	Default  int64
	Min, Max int64
}

// Int reads an integer. It returns the default if the field is absent or has a fault.
func (t *Table) Int(field string, r IntRule) int64 {
	expected := fmt.Sprintf("an integer from %d to %d", r.Min, r.Max)
	v, ok := t.get(field)
	if !ok {
		t.missing(field, r.Required, expected)
		return r.Default
	}
	n, ok := v.(int64)
	if !ok || n < r.Min || n > r.Max {
		t.Fault(field, describe(v), expected)
		return r.Default
	}
	return n
}

// FloatRule defines the accepted values of a number field.
type FloatRule struct {
	Default  float64
	Min, Max float64
}

// Float reads an integer or a float. It returns the default if the field is absent or has a
// fault.
func (t *Table) Float(field string, r FloatRule) float64 {
	v, ok := t.get(field)
	if !ok {
		return r.Default
	}
	f, ok := v.(float64)
	if n, isInt := v.(int64); isInt {
		f, ok = float64(n), true
	}
	if !ok || !(f >= r.Min && f <= r.Max) {
		t.Fault(field, describe(v), fmt.Sprintf("a number from %g to %g", r.Min, r.Max))
		return r.Default
	}
	return f
}

// DurationRule defines the accepted values of a duration field.
type DurationRule struct {
	Required bool
	Default  time.Duration
	Min, Max time.Duration
}

// Duration reads a duration such as "1.5s", "200ms" or "10m". It returns the default if the
// field is absent or has a fault.
func (t *Table) Duration(field string, r DurationRule) time.Duration {
	expected := fmt.Sprintf("a duration from %q to %q", ShortDuration(r.Min), ShortDuration(r.Max))
	v, ok := t.get(field)
	if !ok {
		t.missing(field, r.Required, expected)
		return r.Default
	}
	s, ok := v.(string)
	d, err := time.ParseDuration(s)
	if !ok || err != nil || d < r.Min || d > r.Max {
		t.Fault(field, describe(v), expected)
		return r.Default
	}
	return d
}

// Bool reads a boolean. It returns false if the field is absent or has a fault.
func (t *Table) Bool(field string) bool {
	v, ok := t.get(field)
	if !ok {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		t.Fault(field, describe(v), "true or false")
	}
	return b
}

// Time reads a required time with an offset from UTC. It returns the zero time if the field is
// absent or has a fault.
func (t *Table) Time(field string) time.Time {
	const expected = "a time with offset such as 2027-03-01T02:00:00Z"
	v, ok := t.get(field)
	if !ok {
		t.missing(field, true, expected)
		return time.Time{}
	}
	at, ok := v.(time.Time)
	if !ok {
		t.Fault(field, describe(v), expected)
	}
	return at
}

// Table reads a sub-table. It returns nil if the field is absent or not a table.
func (t *Table) Table(field string) *Table {
	v, ok := t.get(field)
	if !ok {
		return nil
	}
	m, ok := v.(map[string]any)
	if !ok {
		t.Fault(field, describe(v), "a table ["+field+"]")
		return nil
	}
	return t.doc.table(joinPath(t.path, field), m)
}

// Tables reads an array of tables. Elements that are not tables are left out.
func (t *Table) Tables(field string) []*Table {
	v, ok := t.get(field)
	if !ok {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		t.Fault(field, describe(v), "an array of tables [["+field+"]]")
		return nil
	}
	var out []*Table
	for i, e := range list {
		m, ok := e.(map[string]any)
		if !ok {
			t.Fault(elementPath(field, i), describe(e), "a table")
			continue
		}
		out = append(out, t.doc.table(elementPath(joinPath(t.path, field), i), m))
	}
	return out
}

// RejectUnknownFields adds a fault for every field of the table that was not read.
func (t *Table) RejectUnknownFields() {
	known := make([]string, 0, len(t.fieldsRead))
	for f := range t.fieldsRead {
		known = append(known, f)
	}
	slices.Sort(known)
	for f := range t.values {
		if !t.fieldsRead[f] {
			t.Fault(f, "an unknown field", "one of "+strings.Join(known, ", "))
		}
	}
}

// ShortDuration formats a duration without trailing zero units: "10m" instead of "10m0s".
func ShortDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// describe formats a value for the Found text of a fault.
func describe(v any) string {
	switch v := v.(type) {
	case string:
		return fmt.Sprintf("%q", truncate(v))
	case map[string]any:
		return "a table"
	case []any:
		if len(v) == 0 {
			return "an empty list"
		}
		return fmt.Sprintf("a list of %d", len(v))
	}
	return fmt.Sprint(v)
}

// truncate shortens s to maxFoundBytes at a character boundary and marks it with an ellipsis.
func truncate(s string) string {
	if len(s) <= maxFoundBytes {
		return s
	}
	n := maxFoundBytes
	for n > 0 && !utf8.RuneStart(s[n]) {
		n--
	}
	return s[:n] + "..."
}

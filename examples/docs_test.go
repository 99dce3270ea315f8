package examples

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/config"
	"boragepulley/internal/settings"
	"boragepulley/internal/tomldoc"
)

// knownFields returns the fields that the fault of an unknown field names.
func knownFields(t *testing.T, faults tomldoc.Faults) []string {
	t.Helper()
	for _, f := range faults {
		if list, ok := strings.CutPrefix(f.Expected, "one of "); ok && strings.HasSuffix(f.Field, "not_a_field") {
			return strings.Split(list, ", ")
		}
	}
	require.Fail(t, "no fault of the unknown field", "%s", faults.Error())
	return nil
}

// Guards the configuration reference against fields that it does not describe.
func TestReferenceDescribesEveryField(t *testing.T) {
	text, err := os.ReadFile("../docs/configuration.md")
	require.NoError(t, err)
	site, daemon, ok := strings.Cut(string(text), "## Settings of a daemon")
	require.True(t, ok)
	sectionOf := func(doc, header string) string {
		_, rest, ok := strings.Cut(doc, "### `"+header+"`")
		require.True(t, ok, header)
		body, _, _ := strings.Cut(rest, "\n### ")
		return body
	}
	_, faults := config.Parse([]config.File{{Name: "a.toml", Text: "not_a_field = 1\n"}})
	for _, section := range knownFields(t, faults) {
		header := "[[" + section + "]]"
		if section == "site" || section == "weights" || section == "isolation" {
			header = "[" + section + "]"
		}
		_, faults := config.Parse([]config.File{{Name: "a.toml", Text: header + "\nnot_a_field = 1\n"}})
		for _, f := range knownFields(t, faults) {
			require.Contains(t, sectionOf(site, header), "| `"+f+"` |", header)
		}
	}
	_, err = settings.Parse("a.toml", "not_a_field = 1\n")
	require.ErrorAs(t, err, &faults)
	for _, f := range knownFields(t, faults) {
		if f != "peer" {
			require.Contains(t, daemon, "| `"+f+"` |")
		}
	}
	_, err = settings.Parse("a.toml", "[[peer]]\nnot_a_field = 1\n")
	require.ErrorAs(t, err, &faults)
	for _, f := range knownFields(t, faults) {
		require.Contains(t, sectionOf(daemon, "[[peer]]"), "| `"+f+"` |")
	}
}

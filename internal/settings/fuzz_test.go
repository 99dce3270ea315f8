package settings

import "testing"

// Guards against settings that crash the process or are accepted without a fault though a required
// field is missing.
func FuzzParseSite(f *testing.F) {
	f.Add(validSiteSettings)
	f.Add(validSettings)
	f.Add("")
	f.Add("name = \"a\"\n[x\n")
	f.Add("name = 7\nstore_url = \"http://h:1\"\ncores = -1\n")
	f.Fuzz(func(t *testing.T, text string) {
		if s, err := ParseSite("s.toml", text); err == nil && (s.Name == "" || s.StoreURL == "" || s.CallerListen == "") {
			t.Fatalf("accepted without a required field: %q", text)
		}
		if s, err := Parse("s.toml", text); err == nil && (s.Name == "" || s.PlatformURL == "") {
			t.Fatalf("accepted without a required field: %q", text)
		}
	})
}

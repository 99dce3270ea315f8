package siteconfig

import (
	"testing"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
)

func valid() *Document {
	return &Document{Version: 2, Attempts: []int{1},
		Queues:   []site.Queue{{Name: "q", Host: "h", Prefix: "/p/", Service: "s", Stretch: 1}},
		Services: []Service{{Name: "s"}, {Name: "off", Service: site.Service{Standby: true}}},
		Teams:    []Team{{Name: "t", Keys: []string{"k"}, Team: site.Team{Weight: 1}}}}
}

// Guards against a configuration that the store accepts and in which an entry has no effect, or limits
// contradict each other.
func TestCheck(t *testing.T) {
	require.Empty(t, Check(valid(), Limits{RowBytes: 65536, InForce: 1}))
	for name, x := range map[string]struct {
		change  func(*Document)
		section Section
		field   string
		warning bool
	}{
		"no version":             {func(d *Document) { d.Version = 0 }, Top, "Version", false},
		"older than in force":    {func(d *Document) { d.Version = 1 }, Top, "Version", false},
		"body larger than a row": {func(d *Document) { d.MaxBody = 1 << 20 }, Top, "MaxBody", true},
		"host with port":         {func(d *Document) { d.Queues[0].Host = "h:80" }, Queues, "Host", false},
		"prefix without slash":   {func(d *Document) { d.Queues[0].Prefix = "p" }, Queues, "Prefix", false},
		"unknown service": {func(d *Document) {
			d.Queues = append(d.Queues, d.Queues[0])
			d.Attempts = []int{1, 1}
			d.Queues[1].Name, d.Queues[1].Prefix, d.Queues[1].Service = "x", "/x/", "x"
		}, Queues, "Service", false},
		"service on standby":      {func(d *Document) { d.Queues[0].Service = "off"; d.Services = d.Services[1:] }, Queues, "Service", false},
		"no attempts":             {func(d *Document) { d.Attempts[0] = 0 }, Queues, "MaxAttempts", true},
		"ticket never valid":      {func(d *Document) { d.Queues[0].RequiresAdvice = true }, Queues, "AdviceValidity", false},
		"stretch below 1":         {func(d *Document) { d.Queues[0].Stretch = 0.5 }, Queues, "Stretch", true},
		"service without a queue": {func(d *Document) { d.Services = append(d.Services, Service{Name: "y"}) }, Services, "Name", true},
		"two standby pools":       {func(d *Document) { d.Services = append(d.Services, Service{"y", site.Service{Standby: true}}) }, Services, "Standby", true},
		"service named twice":     {func(d *Document) { d.Services = append(d.Services, Service{Name: "s"}) }, Services, "Name", false},
		"team without a key":      {func(d *Document) { d.Teams = append(d.Teams, Team{Name: "u"}) }, Teams, "Keys", true},
		"key of two teams":        {func(d *Document) { d.Teams = append(d.Teams, Team{Name: "u", Keys: []string{"k"}}) }, Teams, "Keys", false},
		"negative limit":          {func(d *Document) { d.Teams[0].Limit = jobs.Resources{CPU: -1} }, Teams, "Limit", false},
		"no weight at all":        {func(d *Document) { d.Teams[0].Weight = 0 }, Teams, "Weight", true},
	} {
		t.Run(name, func(t *testing.T) {
			d := valid()
			x.change(d)
			found := Check(d, Limits{RowBytes: 65536, InForce: 1})
			require.Len(t, found, 1)
			require.Equal(t, []any{x.section, x.field, x.warning}, []any{found[0].Section, found[0].Field, found[0].Warning})
		})
	}
	d := valid()
	d.Queues, d.Attempts = append(d.Queues, d.Queues[0]), []int{1, 1}
	d.Queues[1].Name = model.Queue("hidden")
	found := Check(d, Limits{})
	require.Len(t, found, 1, "the later of two queues with one host and prefix never matches")
	require.Equal(t, 1, found[0].Index)
}

// Guards against keys in output that others read, and against a withdrawn key that is not shown.
func TestDiffShowsKeysByFingerprint(t *testing.T) {
	after := valid()
	after.Teams[0].Keys = []string{"other"}
	changes := Diff(valid(), after)
	require.Len(t, changes, 2)
	require.Equal(t, []string{Fingerprint("other"), Fingerprint("k")}, []string{changes[0].Object, changes[1].Object})
	require.Empty(t, Diff(after, after))
	require.NotEmpty(t, Diff(nil, after))
}

package config

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// goodSite is a small site without faults or warnings.
const goodSite = `[site]
name = "test"
[[data_centre]]
name = "dc-a"
entry_vms = ["e1", "e2"]
[[service]]
name = "quotes"
max_run = "10s"
[[pool]]
name = "quotes-pool"
service = "quotes"
[[pool]]
name = "spare"
spare = true
[[vm]]
name = "vm1"
pool = "quotes-pool"
data_centre = "dc-a"
rack = "r1"
address = "127.0.0.1:9001"
[[vm]]
name = "vm2"
pool = "quotes-pool"
data_centre = "dc-a"
rack = "r2"
address = "127.0.0.1:9002"
[[worker]]
name = "w1"
data_centre = "dc-a"
rack = "r1"
address = "127.0.0.1:9101"
cores = 16
memory_mb = 32768
[[queue]]
name = "quotes"
service = "quotes"
deadline = "5s"
max_deadline = "60s"
[[queue]]
name = "exports"
kind = "tasks"
teams = ["desk"]
[[team]]
name = "desk"
share = 3
limit = 8
[[key]]
id = "desk-1"
team = "desk"
sha256 = "2bd806c97f0e00af1a1fc3328fa763a9269723c8db8fac4f93af71db186d6e90"
[[budget]]
service = "quotes"
scope = "fleet"
max_unavailable = 1
[[wave]]
name = "w-1"
pools = ["quotes-pool"]
start = 2027-03-01T02:00:00Z
`

func one(text string) []File { return []File{{Name: "site.toml", Text: text}} }

// Guards against wrong values of fields and defaults in the parsed site.
func TestParseGoodSite(t *testing.T) {
	s, faults := Parse(one(goodSite))
	require.Empty(t, faults)
	require.Equal(t, "test", s.Name)
	require.Equal(t, Weights{50, 50, 50, 50}, s.Weights)
	require.Equal(t, Isolation{Keys: KeysRefuse, After: 5 * time.Second}, s.Isolation)
	require.Equal(t, VM{Name: "vm1", Pool: "quotes-pool", DC: "dc-a", Rack: "r1", Addr: "127.0.0.1:9001", Slots: 8, Connections: 64}, s.VMs[0])
	require.Equal(t, []Pool{{Name: "quotes-pool", Service: "quotes", Min: 2, Max: 2}, {Name: "spare", Spare: true}}, s.Pools, "nothing moves unless the files allow it")
	q := s.Queues[0]
	require.Equal(t, Queue{Name: "quotes", Kind: QueueRequests, Service: "quotes", MaxWaiting: 1000, MaxBody: 1 << 20,
		Deadline: 5 * time.Second, MaxDeadline: time.Minute, MaxAttempts: 3, RetryPercent: 10}, q)
	require.Equal(t, "2bd806c97f0e00af1a1fc3328fa763a9269723c8db8fac4f93af71db186d6e90", hex.EncodeToString(s.Keys[0].SHA256[:]))
	require.Equal(t, time.Date(2027, 3, 1, 2, 0, 0, 0, time.UTC), s.Waves[0].Start.UTC())
	require.Equal(t, 10*time.Minute, s.Waves[0].DrainTimeout)
}

// Guards each rule: the faulty set must be rejected (or warned of) at the right line and
// field, with what was found and what is expected.
func TestParseRules(t *testing.T) {
	const vm2 = "[[vm]]\nname = \"vm2\"\n"
	cases := []struct {
		name, old, new string
		// want is "line level field found"; expected is part of the expected value.
		want, expected string
	}{
		{"malformed name", `name = "desk"`, `name = "Desk"`, `error team[0].name "Desk"`, "lower-case"},
		{"missing name", "name = \"w1\"\n", "", `error worker[0].name nothing`, "lower-case"},
		{"name is no string", `name = "w1"`, `name = 7`, `error worker[0].name 7`, "lower-case"},
		{"unknown field", `cores = 16`, "cores = 16\ncolour = \"red\"", `error worker[0].colour an unknown field`, "one of accelerators, address, cores"},
		{"unknown section", `[[worker]]`, "[[machine]]\nx = 1\n[[worker]]", `error machine an unknown field`, "worker"},
		{"section of wrong kind", `[[worker]]`, "[weight]\nmoves = 1\n[[isolation]]\n[[worker]]", "error isolation a list of 1", "[isolation]"},
		{"VM in two pools", vm2, "[[vm]]\nname = \"vm1\"\npool = \"spare\"\ndata_centre = \"dc-a\"\nrack = \"r1\"\naddress = \"127.0.0.1:9009\"\n" + vm2, `error vm[1].pool VM "vm1" in a second pool "spare"`, `it is in "quotes-pool" at site.toml:17`},
		{"VM twice", vm2, "[[vm]]\nname = \"vm1\"\n", `error vm[1].name "vm1" again`, "site.toml:16"},
		{"address twice", "127.0.0.1:9002", "127.0.0.1:9001", `error vm[1].address "127.0.0.1:9001" again`, "site.toml:20"},
		{"worker address of a VM", "127.0.0.1:9101", "127.0.0.1:9001", `error worker[0].address "127.0.0.1:9001" again`, "site.toml:20"},
		{"address without port", "127.0.0.1:9002", "127.0.0.1", `error vm[1].address "127.0.0.1"`, "IP:port"},
		{"host name", "127.0.0.1:9002", "localhost:9002", `error vm[1].address "localhost:9002"`, "IP:port"},
		{"unknown pool", `pool = "quotes-pool"` + "\ndata_centre = \"dc-a\"\nrack = \"r2\"", "pool = \"q\"\ndata_centre = \"dc-a\"\nrack = \"r2\"", `error vm[1].pool unknown pool "q"`, "existing pool"},
		{"unknown data centre", "data_centre = \"dc-a\"\nrack = \"r2\"", "data_centre = \"dc-z\"\nrack = \"r2\"", `error vm[1].data_centre unknown data centre "dc-z"`, "existing data centre"},
		{"unknown service of a queue", "service = \"quotes\"\ndeadline", "service = \"cuts\"\ndeadline", `error queue[0].service unknown service "cuts"`, "existing service"},
		{"unknown team of a queue", `teams = ["desk"]`, `teams = ["desk", "shop"]`, `error queue[1].teams unknown team "shop"`, "existing team"},
		{"team listed twice", `teams = ["desk"]`, `teams = ["desk", "desk"]`, `error queue[1].teams[1] "desk" twice`, "once"},
		{"key of unknown team", `team = "desk"`, `team = "shop"`, `error key[0].team unknown team "shop"`, "existing team"},
		{"short hash", "2bd806", "2bd8", `error key[0].sha256 "2bd8c97f0e00af1a1fc3328fa763a9269723c8db8fac4f93af71db186d6e90"`, "64 hex digits"},
		{"hash not hex", "2bd806", "zbd806", `error key[0].sha256 "zbd806c97f0e00af1a1fc3328fa763a9269723c8db8fac4f93af71db186d6e90"`, "64 hex digits"},
		{"share 0", "share = 3", "share = 0", "error team[0].share 0", "from 1 to"},
		{"share missing", "share = 3\n", "", "error team[0].share nothing", "from 1 to"},
		{"limit 0", "limit = 8", "limit = 0", "error team[0].limit 0", "from 1 to"},
		{"limit above capacity", "limit = 8", "limit = 33", "warning team[0].limit 33", "at most 32, the capacity"},
		{"tiny share", "limit = 8", "limit = 8\n[[team]]\nname = \"big\"\nshare = 9000\nlimit = 8\n[[key]]\nid = \"b\"\nteam = \"big\"\nsha256 = \"" + strings.Repeat("ab", 32) + "\"", "warning team[0].share 3 of 9003", "at least 282"},
		{"team without a key", "limit = 8", "limit = 8\n[[team]]\nname = \"shop\"\nshare = 1\nlimit = 1", `warning team[1].name team "shop" without a key`, "[[key]]"},
		{"slots 0", "rack = \"r2\"", "rack = \"r2\"\nslots = 0", "error vm[1].slots 0", "from 1 to 1024"},
		{"connections below slots", "rack = \"r2\"", "rack = \"r2\"\nconnections = 7", "error vm[1].connections 7", "at least the 8 slots"},
		{"connections below entry VMs", "rack = \"r2\"", "rack = \"r2\"\nslots = 1\nconnections = 1", "error vm[1].connections 1", "2 entry VMs"},
		{"connections that cannot be split", "rack = \"r2\"", "rack = \"r2\"\nslots = 3\nconnections = 3", "warning vm[1].connections 3", "use 1 each"},
		{"pool without service", "[[pool]]\nname = \"spare\"\nspare = true", "[[pool]]\nname = \"spare\"", "error pool[1].service nothing", "spare = true"},
		{"spare pool with service", "spare = true", "spare = true\nservice = \"quotes\"", "error pool[1].service a service on a spare pool", "no service"},
		{"pool minimum above its VMs", "service = \"quotes\"\n[[pool]]", "service = \"quotes\"\nmin = 3\n[[pool]]", "error pool[0].min 3", "at most 2"},
		{"pool maximum below its VMs", "service = \"quotes\"\n[[pool]]", "service = \"quotes\"\nmax = 1\n[[pool]]", "error pool[0].max 1", "at least 2"},
		{"pool minimum within the budget", "service = \"quotes\"\n[[pool]]", "service = \"quotes\"\nmin = 1\n[[pool]]", "error pool[0].min 1", "at least 2, more than the budget"},
		{"negative pool minimum", "service = \"quotes\"\n[[pool]]", "service = \"quotes\"\nmin = -1\n[[pool]]", "error pool[0].min -1", "from 0"},
		{"pool maximum that nothing can reach", "service = \"quotes\"\n[[pool]]", "service = \"quotes\"\nmax = 3\n[[pool]]", "warning pool[0].max 3", "another pool with min"},
		{"service without VMs", "[[pool]]", "[[service]]\nname = \"cuts\"\n[[pool]]", `warning service[1].name service "cuts" without VMs`, "refuse all work"},
		{"duration out of bounds", `max_run = "10s"`, `max_run = "601s"`, `error service[0].max_run "601s"`, `"1ms" to "10m"`},
		{"duration without unit", `max_run = "10s"`, `max_run = 10`, `error service[0].max_run 10`, "a duration"},
		{"deadline above maximum", `max_deadline = "60s"`, `max_deadline = "4s"`, `error queue[0].max_deadline "4s"`, `the deadline "5s"`},
		{"queue kind", `kind = "tasks"`, `kind = "batch"`, `error queue[1].kind "batch"`, `"requests" or "tasks"`},
		{"tasks with service", `kind = "tasks"`, "kind = \"tasks\"\nservice = \"quotes\"", "error queue[1].service a service on a queue of tasks", "no service"},
		{"requests without service", "service = \"quotes\"\ndeadline", "deadline", "error queue[0].service nothing", "a service"},
		{"open queue with teams", `teams = ["desk"]`, "teams = [\"desk\"]\nopen = true", "error queue[1].teams teams on a queue that is open", "no teams"},
		{"open is no boolean", `teams = ["desk"]`, "open = \"yes\"", `error queue[1].open "yes"`, "true or false"},
		{"body bound", `teams = ["desk"]`, "max_body = 16777217", `error queue[1].max_body 16777217`, "to 16777216"},
		{"waiting 0", `teams = ["desk"]`, "max_waiting = 0", `error queue[1].max_waiting 0`, "from 1"},
		{"attempts 0", `teams = ["desk"]`, "max_attempts = 0", `error queue[1].max_attempts 0`, "from 1 to 10"},
		{"retry percentage", `teams = ["desk"]`, "retry_percent = 101", `error queue[1].retry_percent 101`, "from 0 to 100"},
		{"weight bound", `[[worker]]`, "[weights]\nmoves = 101\n[[worker]]", `error weights.moves 101`, "from 0 to 100"},
		{"all weights 0", `[[worker]]`, "[weights]\nmoves = 0\nbuffer_cost = 0\nrollout_time = 0\nshare_closeness = 0\n[[worker]]", `error weights all weights 0`, "above 0"},
		{"isolation policy", `[[worker]]`, "[isolation]\nkeys = \"allow\"\n[[worker]]", `error isolation.keys "allow"`, `"refuse" or "serve"`},
		{"isolation time", `[[worker]]`, "[isolation]\nafter = \"1s\"\n[[worker]]", `error isolation.after "1s"`, `"2s" to "10m"`},
		{"budget scope", `scope = "fleet"`, `scope = "world"`, `error budget[0].scope "world"`, `"fleet" or "data_centre" or "rack"`},
		{"budget without scope", "scope = \"fleet\"\n", "", `error budget[0].scope nothing`, `"fleet"`},
		{"budget that allows everything", "max_unavailable = 1", "max_unavailable = 2", "error budget[0].max_unavailable 2", "at most 1, since the service has at most 2 VMs per fleet"},
		{"negative budget", "max_unavailable = 1", "max_unavailable = -1", "error budget[0].max_unavailable -1", "from 0"},
		{"budget 0 under a wave", "max_unavailable = 1", "max_unavailable = 0", "error budget[0].max_unavailable 0", `wave "w-1" at site.toml:56`},
		{"budget twice", "[[wave]]", "[[budget]]\nservice = \"quotes\"\nscope = \"fleet\"\nmax_unavailable = 1\n[[wave]]", `error budget[1].scope "quotes per fleet" again`, "unique"},
		{"budget of a service without VMs", "[[wave]]", "[[service]]\nname = \"cuts\"\n[[budget]]\nservice = \"cuts\"\nscope = \"rack\"\nmax_unavailable = 0\n[[wave]]", `error budget[1].service service "cuts" without VMs`, "guarantees nothing"},
		{"budget per small data centre", "[[vm]]\nname = \"vm1\"", "[[data_centre]]\nname = \"dc-b\"\nentry_vms = [\"e3\"]\n[[budget]]\nservice = \"quotes\"\nscope = \"data_centre\"\nmax_unavailable = 1\n[[vm]]\nname = \"vm3\"\npool = \"quotes-pool\"\ndata_centre = \"dc-b\"\nrack = \"r1\"\naddress = \"127.0.0.1:9003\"\n[[vm]]\nname = \"vm1\"", "warning budget[0].max_unavailable 1", `data centre "dc-b" has 1`},
		{"wave over unknown pool", `pools = ["quotes-pool"]`, `pools = ["cuts-pool"]`, `error wave[0].pools unknown pool "cuts-pool"`, "existing pool"},
		{"wave over no pool", `pools = ["quotes-pool"]`, `pools = []`, `error wave[0].pools an empty list`, "a list of"},
		{"wave without budget", "[[budget]]\nservice = \"quotes\"\nscope = \"fleet\"\nmax_unavailable = 1\n", "", `warning wave[0].pools pool "quotes-pool" of service "quotes" without a budget`, "a budget"},
		{"wave start without offset", "2027-03-01T02:00:00Z", "2027-03-01T02:00:00", `error wave[0].start 2027-03-01T02:00:00`, "with offset"},
		{"wave without start", "start = 2027-03-01T02:00:00Z\n", "", `error wave[0].start nothing`, "with offset"},
		{"drain below max_run", "start = 2027", "drain_timeout = \"5s\"\nstart = 2027", `warning wave[0].drain_timeout "5s"`, `"10s", the max_run`},
		{"entry VM in two data centres", "[[service]]", "[[data_centre]]\nname = \"dc-b\"\nentry_vms = [\"e2\"]\n[[service]]", `error data_centre[1].entry_vms "e2" in a second data centre`, "site.toml:5"},
		{"data centre without entry VMs", `entry_vms = ["e1", "e2"]`, `entry_vms = []`, `error data_centre[0].entry_vms an empty list`, "a list of"},
		{"cores 0", "cores = 16", "cores = 0", "error worker[0].cores 0", "from 1"},
		{"no memory", "memory_mb = 32768\n", "", "error worker[0].memory_mb nothing", "from 1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, goodSite, c.old)
			text := strings.Replace(goodSite, c.old, c.new, 1)
			s, faults := Parse(one(text))
			var hit *Fault
			for i, f := range faults {
				if strings.HasPrefix(summary(f), c.want) {
					hit = &faults[i]
				}
			}
			require.NotNil(t, hit, "faults:\n%s", faults.Error())
			require.Contains(t, hit.Expected, c.expected)
			require.Equal(t, hit.Warning, s != nil, "a site with an error must not be returned")
			checkLine(t, text, *hit)
		})
	}
}

func summary(f Fault) string {
	level := "error"
	if f.Warning {
		level = "warning"
	}
	return fmt.Sprintf("%s %s %s", level, f.Field, f.Found)
}

// checkLine requires that the fault is at the line of its field, or at the header of the
// table if the field is absent or the fault concerns the whole table.
func checkLine(t *testing.T, text string, f Fault) {
	require.Positive(t, f.Line)
	line := strings.Split(text, "\n")[f.Line-1]
	path, last, ok := strings.Cut(f.Field, ".")
	section, _, _ := strings.Cut(path, "[")
	if !ok || f.Found == "nothing" {
		require.Contains(t, []string{"[" + section + "]", "[[" + section + "]]"}, line)
		return
	}
	last, _, _ = strings.Cut(last, "[")
	require.True(t, strings.HasPrefix(line, last+" ="), "line %d is %q, want field %s", f.Line, line, last)
}

// Guards against reporting only the first fault of a set, and against wrong order.
func TestParseReportsAllFaultsOfAllFiles(t *testing.T) {
	s, faults := Parse([]File{
		{Name: "b.toml", Text: "[[team]]\nname = \"desk\"\nshare = 0\nlimit = 0\n"},
		{Name: "a.toml", Text: "[site]\nname = \"x\"\n[[key]]\nid = \"k\"\nteam = \"shop\"\nsha256 = \"no\"\n"},
		{Name: "c.toml", Text: "[site]\nname = \"y\"\n"},
	})
	require.Nil(t, s)
	var got []string
	for _, f := range faults.Errors() {
		got = append(got, fmt.Sprintf("%s:%d %s", f.File, f.Line, f.Field))
	}
	require.Equal(t, []string{
		"(all files):0 [[data_centre]]", "a.toml:5 key[0].team", "a.toml:6 key[0].sha256",
		"b.toml:3 team[0].share", "b.toml:4 team[0].limit", "c.toml:1 site",
	}, got)
}

// Guards against reference faults that only follow from a file that is not TOML.
func TestParseMalformedTOML(t *testing.T) {
	s, faults := Parse([]File{
		{Name: "bad.toml", Text: "[[team]]\nname = \"desk\nshare = 1\n"},
		{Name: "twice.toml", Text: "[site]\nname = \"x\"\nname = \"y\"\n"},
		{Name: "keys.toml", Text: "[[key]]\nid = \"k\"\nteam = \"desk\"\nsha256 = \"" + strings.Repeat("0a", 32) + "\"\n"},
	})
	require.Nil(t, s)
	require.Len(t, faults, 2)
	require.Equal(t, "bad.toml", faults[0].File)
	require.Equal(t, 2, faults[0].Line)
	require.Equal(t, "valid TOML", faults[0].Expected)
	require.Equal(t, "twice.toml", faults[1].File)
	require.Equal(t, 3, faults[1].Line)
}

// Guards the limits on the set of files, which protect the daemon's memory.
func TestParseFileLimits(t *testing.T) {
	many := make([]File, MaxFiles+1)
	cases := map[string][]File{
		"0 files":             nil,
		"201 files":           many,
		"1048577 bytes":       one("#" + strings.Repeat("x", MaxFileBytes)),
		"5242875 bytes":       {{Name: "a.toml", Text: strings.Repeat(" ", MaxFileBytes-1)}, {Name: "b.toml", Text: strings.Repeat(" ", MaxFileBytes-1)}, {Name: "c.toml", Text: strings.Repeat(" ", MaxFileBytes-1)}, {Name: "d.toml", Text: strings.Repeat(" ", MaxFileBytes-1)}, {Name: "e.toml", Text: strings.Repeat(" ", MaxFileBytes-1)}},
		`name "../a.toml"`:    {{Name: "../a.toml"}},
		`name "a.txt"`:        {{Name: "a.txt"}},
		"the file name twice": {{Name: "a.toml"}, {Name: "a.toml"}},
	}
	for want, files := range cases {
		s, faults := Parse(files)
		require.Nil(t, s, want)
		require.Contains(t, faults.Error(), want)
	}
}

// Guards against input that takes time or memory out of proportion to its size: with
// quadratic work, each of these texts of about a megabyte would run for minutes.
func TestParseLargeInput(t *testing.T) {
	const n = MaxFileBytes - 100
	var list strings.Builder
	for i := 0; list.Len() < n; i++ {
		fmt.Fprintf(&list, "%q,", fmt.Sprint(i))
	}
	for name, text := range map[string]string{
		"dotted key":     strings.Repeat("a.", n/2) + "a = 1",
		"nested arrays":  "vm = " + strings.Repeat("[", n/2) + strings.Repeat("]", n/2),
		"unknown fields": strings.Repeat("[[team]]\nx=1\n", n/13),
		"long list":      "[[data_centre]]\nentry_vms = [" + list.String() + "]",
	} {
		start := time.Now()
		_, faults := Parse(one(text))
		require.Error(t, faults.Err(), name)
		require.Less(t, len(faults), 1100, name)
		require.Less(t, time.Since(start), time.Minute, name)
	}
}

// Guards against warnings that use up the bound on faults and so hide an error.
func TestParseErrorAfterManyWarnings(t *testing.T) {
	var text strings.Builder
	for i := range 1200 {
		fmt.Fprintf(&text, "[[service]]\nname = \"s%d\"\n[[team]]\nname = \"t%d\"\nshare = 1\nlimit = 1\n", i, i)
	}
	s, faults := Parse([]File{{"a.toml", goodSite + text.String()}, {"z.toml", "[[key]]\nid = \"k\"\nteam = \"none\"\nsha256 = \"" + strings.Repeat("0a", 32) + "\"\n"}})
	require.Nil(t, s)
	require.Len(t, faults.Errors(), 1)
}

// Guards against a digest that depends on the order of files or merges file boundaries.
func TestDigest(t *testing.T) {
	a, b := File{"a.toml", "x"}, File{"b.toml", "y"}
	require.Equal(t, Digest([]File{a, b}), Digest([]File{b, a}))
	require.NotEqual(t, Digest([]File{a, b}), Digest([]File{{"a.toml", "x1:b.toml"}, {"", "y"}}))
	require.NotEqual(t, Digest([]File{a}), Digest([]File{{"a.toml", "x "}}))
}

// Guards against using a stored document whose files were damaged.
func TestDocumentDigest(t *testing.T) {
	d := Document{Version: 3, Files: one(goodSite), Digest: Digest(one(goodSite))}
	data, err := d.Encode()
	require.NoError(t, err)
	back, err := DecodeDocument(data)
	require.NoError(t, err)
	require.Equal(t, d, *back)
	_, err = DecodeDocument([]byte(strings.Replace(string(data), "quotes", "cuts", 1)))
	require.ErrorContains(t, err, "want "+d.Digest)
}

// Guards against a plan that hides a change or shows one that is none.
func TestDiff(t *testing.T) {
	before, _ := Parse(one(goodSite))
	text := strings.NewReplacer("limit = 8", "limit = 6", "name = \"spare\"", "name = \"reserve\"", "kind = \"tasks\"", "kind = \"tasks\"\nopen = false\ndeferrable = true").Replace(goodSite)
	after, faults := Parse(one(text))
	require.Empty(t, faults)
	require.Empty(t, Diff(before, before))
	require.Equal(t, []Change{
		{ActionAdd, KindPool, "reserve", "", "", "spare=true min=0 max=0"},
		{ActionRemove, KindPool, "spare", "", "spare=true min=0 max=0", ""},
		{ActionChange, KindQueue, "exports", "deferrable", "false", "true"},
		{ActionChange, KindTeam, "desk", "limit", "8", "6"},
	}, Diff(before, after))
	require.Len(t, Diff(nil, before), 16, "every object of the first configuration is an addition")
}

// Guards the text form of keys and the comparison of their hashes.
func TestKeys(t *testing.T) {
	secret := NewSecret()
	require.Len(t, secret, 43, "256 bits in base64")
	require.NotEqual(t, secret, NewSecret())
	k := Key{ID: "desk-1", SHA256: KeyHash(secret)}
	id, got, err := SplitKey(KeyText("desk-1", secret))
	require.NoError(t, err)
	require.Equal(t, "desk-1", id)
	require.True(t, k.Matches(got))
	require.False(t, k.Matches(got+"x"))
	for _, bad := range []string{"", "desk-1", "desk-1.", ".secret", "Desk.secret"} {
		_, _, err := SplitKey(bad)
		require.ErrorIs(t, err, ErrBadKey, "%q", bad)
	}
}

// Guards against a file that crashes the daemon, and against a checked site whose
// digest, index or difference from itself is inconsistent.
func FuzzParse(f *testing.F) {
	f.Add(goodSite, "[weights]\nmoves = 3\n")
	f.Add("[[vm]]\nname = \"a\"\n", "vm = [{name = \"b\", pool = 3}]")
	f.Add("a.b.c = 1\n[a.b]\n", "team = [[[{x = 1}]]]")
	f.Add("[site]\nname = 2027-01-01", "\"quoted key\" = '''x'''")
	f.Fuzz(func(t *testing.T, a, b string) {
		files := []File{{Name: "a.toml", Text: a}, {Name: "b.toml", Text: b}}
		s, faults := Parse(files)
		if (s == nil) != (faults.Err() != nil) {
			t.Fatalf("site %v with faults %v", s, faults)
		}
		for _, x := range faults {
			if x.Found == "" || x.Expected == "" || x.File == "" {
				t.Fatalf("incomplete fault %+v", x)
			}
		}
		if s == nil {
			return
		}
		if c := Diff(s, s); len(c) > 0 {
			t.Fatalf("a site differs from itself: %v", c)
		}
		if x := NewIndex(s, 1); len(x.Teams) > 0 && x.Team(x.Teams[0].Name) == nil {
			t.Fatal("index misses a team")
		}
	})
}

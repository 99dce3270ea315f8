package readiness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// Guards against an entry VM out of rotation that can store jobs or whose callers have nowhere else to go, and
// against one in rotation that refuses what others could store.
func TestDecide(t *testing.T) {
	own, other := Peer{Answered: true, AnsweredLately: true}, Peer{OtherDC: true, Answered: true, AnsweredLately: true}
	silent := func(d time.Duration) Peer { return Peer{OtherDC: true, SilentFor: d} }
	ownSilent := Peer{SilentFor: time.Hour}
	reaching := Peer{OtherDC: true, Answered: true, AnsweredLately: true, ReachesStore: true}
	ownReaching := Peer{Answered: true, AnsweredLately: true, ReachesStore: true}
	earlier := Peer{OtherDC: true, Answered: true} // answered some time ago and was not called since
	ready, out := Decision{Reason: Accepting}, Decision{Reason: CutOff, Since: 10 * time.Second}
	for name, c := range map[string]struct {
		prev Decision
		e    Evidence
		want Reason
	}{
		"calm":                                  {ready, Evidence{}, Accepting},
		"not configured":                        {Decision{}, Evidence{Configured: false}, Unconfigured},
		"first configuration":                   {Decision{Reason: Unconfigured}, Evidence{Configured: true}, Accepting},
		"shutdown":                              {ready, Evidence{Configured: true, Stopping: true}, Stopping},
		"shutdown while out":                    {out, Evidence{Configured: true, Stopping: true, SuccessfulProbes: 5}, Stopping},
		"failing for a moment":                  {ready, Evidence{FailingFor: 699 * ms, Peers: []Peer{silent(time.Hour)}}, Accepting},
		"network cut":                           {ready, Evidence{FailingFor: 700 * ms, Peers: []Peer{own, earlier, silent(time.Second)}}, CutOff},
		"peer restarts":                         {ready, Evidence{FailingFor: time.Hour, Peers: []Peer{own, earlier, silent(999 * ms)}}, StoreAwayForAll},
		"another data centre reaches the store": {ready, Evidence{FailingFor: 700 * ms, Peers: []Peer{own, reaching}}, StoreAwayForAll},
		"one of this data centre does":          {ready, Evidence{FailingFor: 700 * ms, Peers: []Peer{ownReaching, other}}, StoreAwayForAll},
		"one did lately, others are silent":     {ready, Evidence{FailingFor: 700 * ms, Peers: []Peer{own, reaching, silent(time.Hour)}}, StoreAwayForAll},
		"own one does, cut from the others":     {ready, Evidence{FailingFor: 700 * ms, Peers: []Peer{ownReaching, silent(time.Second)}}, CutOff},
		"dead in other data centres":            {ready, Evidence{FailingFor: time.Hour, Peers: []Peer{own, silent(time.Hour), silent(time.Hour), other}}, StoreAwayForAll},
		"all others are silent":                 {ready, Evidence{FailingFor: 700 * ms, Peers: []Peer{own, silent(time.Second), silent(0), silent(time.Hour)}}, CutOff},
		"all answer, none reaches the store":    {ready, Evidence{FailingFor: time.Hour, Peers: []Peer{own, other, other}}, StoreAwayForAll},
		"no other was asked":                    {ready, Evidence{FailingFor: time.Hour, Peers: []Peer{{OtherDC: true}, {}}}, StoreAwayForAll},
		"silent one of this data centre":        {ready, Evidence{FailingFor: time.Hour, Peers: []Peer{ownSilent, other}}, StoreAwayForAll},
		"single data centre":                    {ready, Evidence{FailingFor: time.Hour, Peers: []Peer{ownSilent, ownReaching}}, StoreAwayForAll},
		"no members":                            {ready, Evidence{FailingFor: time.Hour}, StoreAwayForAll},
		"cut while away for all":                {Decision{Reason: StoreAwayForAll}, Evidence{FailingFor: time.Hour, Peers: []Peer{silent(time.Second)}}, CutOff},
		"away for all, store back":              {Decision{Reason: StoreAwayForAll}, Evidence{SuccessfulProbes: 1}, Accepting},
		"out, still failing":                    {out, Evidence{Now: 20 * time.Second, FailingFor: time.Hour}, CutOff},
		"out, a caller's request succeeded":     {out, Evidence{Now: 20 * time.Second}, CutOff},
		"out, cut ended, store away for all":    {out, Evidence{Now: 20 * time.Second, FailingFor: time.Hour, Peers: []Peer{own, other}}, CutOff},
		"out, one probe":                        {out, Evidence{Now: 20 * time.Second, SuccessfulProbes: 1}, Recovering},
		"out for a moment":                      {out, Evidence{Now: 10999 * ms, SuccessfulProbes: 2}, Recovering},
		"back":                                  {out, Evidence{Now: 11 * time.Second, SuccessfulProbes: 2}, Accepting},
		"recovering, fails again":               {Decision{Reason: Recovering, Since: 10 * time.Second}, Evidence{Now: 20 * time.Second, FailingFor: ms}, CutOff},
		"recovering, back":                      {Decision{Reason: Recovering, Since: 10 * time.Second}, Evidence{Now: 20 * time.Second, SuccessfulProbes: 2}, Accepting},
	} {
		t.Run(name, func(t *testing.T) {
			if name != "not configured" {
				c.e.Configured = true
			}
			d := Decide(c.prev, c.e)
			require.Equal(t, c.want, d.Reason)
			since := c.prev.Since
			if d.Reason.Ready() != c.prev.Reason.Ready() {
				since = c.e.Now
			}
			require.Equal(t, since, d.Since)
		})
	}
	d := Decide(ready, Evidence{Configured: true, FailingFor: time.Second, Peers: []Peer{own, other, reaching, silent(time.Second), silent(ms), {}}})
	require.Equal(t, Decision{Reason: StoreAwayForAll, Answering: 3, Silent: 1, Reaching: 1}, d)
}

// Guards against a process that was suspended and takes the answers that it did not read for an outage, and
// against probes that count twice.
func TestProbes(t *testing.T) {
	at := func(n int) time.Duration { return time.Hour + time.Duration(n)*ms }
	var p Probes
	require.True(t, p.Record(at(0), at(400), false))
	require.True(t, p.Record(at(600), at(1000), false))
	require.Equal(t, 1000*ms, p.FailingFor(0))
	require.Equal(t, 200*ms, p.FailingFor(at(800)), "another call was answered meanwhile")
	require.Zero(t, p.FailingFor(at(1001)))

	// A suspension during a probe, and between two.
	require.False(t, p.Record(at(1200), at(31_200), false))
	require.Zero(t, p.FailingFor(0))
	require.False(t, p.Failing())
	require.True(t, p.Record(at(31_400), at(31_800), false))
	require.True(t, p.Record(at(61_800), at(62_200), false))
	require.Equal(t, 400*ms, p.FailingFor(0))

	// Two that overlap are one, whoever made them.
	require.True(t, p.Record(at(62_300), at(62_310), true))
	require.True(t, p.Record(at(62_305), at(62_320), true))
	require.Equal(t, 1, p.Successes())
	require.True(t, p.Record(at(62_510), at(62_520), true))
	require.Equal(t, 2, p.Successes())
	require.True(t, p.Record(at(62_720), at(62_730), false))
	require.Zero(t, p.Successes())
	require.Equal(t, 10*ms, p.FailingFor(at(62_320)))
	require.False(t, p.Record(at(62_900), at(99_000), true), "nor does a success count that was suspended")
	require.Zero(t, p.Successes())
}

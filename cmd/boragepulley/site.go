package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/jobs"
	"boragepulley/internal/sitestatus"
)

// siteStatusOutput is the JSON output of status --entry.
type siteStatusOutput struct {
	Time    time.Time          `json:"time"`
	Entries []entryStatus      `json:"entries"`
	Unknown []unreachableEntry `json:"unreachable,omitempty"`
	// Conflicts tells where entry VMs contradict each other.
	Conflicts []string `json:"conflicts,omitempty"`
}

type entryStatus struct {
	Addr string `json:"addr"`
	*sitestatus.Entry
}

type unreachableEntry struct {
	Addr  string `json:"addr"`
	Error string `json:"error"`
}

// siteStatus shows what the entry VMs of a site on the users' platform know.
func siteStatus(a *app, addrs []string) error {
	out := siteStatusOutput{Time: time.Now().UTC()}
	for _, x := range sitestatus.Ask(a.ctx, addrs) {
		if x.Err != nil {
			out.Unknown = append(out.Unknown, unreachableEntry{x.Addr, x.Err.Error()})
			continue
		}
		out.Entries = append(out.Entries, entryStatus{x.Addr, x.Entry})
	}
	if len(out.Entries) == 0 {
		return errors.Wrapf(sitestatus.ErrUnreachable, "none of %s", strings.Join(addrs, ", "))
	}
	out.Conflicts = conflicts(out.Entries)
	a.print(out, func(p *printer) { p.site(out) })
	return nil
}

// conflicts lists the contradictions between entry VMs.
func conflicts(entries []entryStatus) []string {
	var out []string
	var holder *entryStatus
	newest := uint64(0)
	for i := range entries {
		e := &entries[i]
		if c := e.Configuration; c != nil {
			newest = max(newest, c.Version)
		}
		if e.Term == nil || e.Term.OrdersLeftMS <= 0 {
			continue
		}
		if holder != nil {
			out = append(out, fmt.Sprintf("%s (epoch %d) and %s (epoch %d) both say that they may send orders", holder.Name, holder.Term.Epoch, e.Name, e.Term.Epoch))
		}
		holder = e
	}
	if holder == nil {
		out = append(out, "none of these entry VMs may send orders")
	}
	for _, e := range entries {
		switch {
		case e.Configuration == nil:
			out = append(out, fmt.Sprintf("%s has no configuration", e.Name))
		case e.Configuration.Version < newest:
			out = append(out, fmt.Sprintf("%s has configuration %d, the newest is %d", e.Name, e.Configuration.Version, newest))
		}
		if holder != nil && e.Term == nil && (e.Follows == nil || e.Follows.Epoch != holder.Term.Epoch) {
			out = append(out, fmt.Sprintf("%s does not follow %s (epoch %d)", e.Name, holder.Name, holder.Term.Epoch))
		}
	}
	return out
}

func (p *printer) site(s siteStatusOutput) {
	p.line("%d of %d entry VMs answered at %s", len(s.Entries), len(s.Entries)+len(s.Unknown), stamp(s.Time))
	for _, x := range s.Conflicts {
		p.line("conflict: %s", x)
	}
	p.line("")
	p.table(func(t *printer) {
		t.line("entry VM\tdata centre\tready\tconfiguration\tfollows\tepoch\theartbeat age\tstore")
		for _, e := range s.Entries {
			version, follows, epoch, age := "-", "-", "-", "-"
			if c := e.Configuration; c != nil {
				version = fmt.Sprintf("%d (%s)", c.Version, ms(c.AgeMS))
			}
			if f := e.Follows; f != nil {
				follows, epoch, age = string(f.Name), fmt.Sprint(f.Epoch), ms(f.HeartbeatAgeMS)
			}
			if e.Term != nil {
				follows, epoch, age = "coordinates", fmt.Sprint(e.Term.Epoch), "-"
			}
			store := "answers"
			if e.StoreAwayMS > 0 {
				store = "away for " + ms(e.StoreAwayMS)
			}
			t.line("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s", e.Name, e.DC, choose(e.Stopping, "stopping", choose(e.Ready, "yes", "no")), version, follows, epoch, age, store)
		}
		for _, u := range s.Unknown {
			t.line("%s\t-\tno answer\t-\t-\t-\t-\t-", u.Addr)
		}
	})
	for _, e := range s.Entries {
		if e.Term != nil {
			p.term(e)
		}
	}
}

// term prints the state of a coordinator.
func (p *printer) term(e entryStatus) {
	t := e.Term
	p.line("\n%s coordinates since %s with epoch %d: lease for %s more, orders for %s more, %s", e.Name, ms(t.AgeMS), t.Epoch,
		ms(t.LeaseLeftMS), ms(t.OrdersLeftMS), choose(t.Loaded, "state loaded", "state not loaded yet"))
	p.line("%d open jobs, %d with progress that is not stored", t.OpenJobs, t.UnstoredJobs)
	p.table(func(x *printer) {
		x.line("service\tminions\tusable\tmoving to it\twaiting tasks")
		for _, s := range t.Services {
			x.line("%s\t%d\t%d\t%d\t%d", s.Name, s.Minions, s.Usable, s.Moving, s.WaitingTasks)
		}
	})
	p.table(func(x *printer) {
		x.line("minion not usable\tservice\tstate\ttasks\tlast reply\truns may go on for")
		for _, m := range t.Minions {
			if m.State != sitestatus.MinionUsable {
				x.line("%s\t%s\t%s\t%d\t%s\t%s", m.ID, m.Service, m.State, m.Tasks, ms(m.ReplyAgeMS), ms(max(m.RunsLeftMS, 0)))
			}
		}
	})
	for _, w := range t.Waves {
		p.line("wave %d for %s: due %d, draining %d, down %d, done %d", w.ID, ms(w.AgeMS), w.Due, w.Draining, w.Down, w.Done)
	}
}

// siteJob shows what the coordinator of a site on the users' platform knows of a job now.
func siteJob(a *app, addrs []string, id jobs.ID) error {
	j, err := sitestatus.AskForJob(a.ctx, addrs, id)
	if err != nil {
		return err
	}
	a.print(j, func(p *printer) { p.siteJob(j) })
	return nil
}

func (p *printer) siteJob(j *sitestatus.Job) {
	p.line("job %s: %s%s, queue %s, team %s, known to %s (epoch %d) for %s", j.Job, j.State, choose(j.Stored, "", " (not stored yet)"),
		j.Queue, orDash(j.Team), j.Entry, j.Epoch, ms(j.KnownMS))
	if j.Occurrences > 1 {
		p.line("%d of %d occurrences have ended", j.EndedOccurrences, j.Occurrences)
	}
	if j.NotListed > 0 {
		p.line("%d further tasks wait and have never begun", j.NotListed)
	}
	p.table(func(t *printer) {
		t.line("task\tphase\tfor\trun\tminion\tminion is\tfailed runs\tdetail")
		for _, x := range j.Tasks {
			t.line("%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s", x.Name, x.Phase, ms(x.SinceMS), x.Run, orDash(x.Minion), orDash(x.MinionState), x.FailedRuns, x.Waits)
		}
	})
}

// ms formats a duration in milliseconds; negative ones are unknown.
func ms(n int64) string {
	if n < 0 {
		return "-"
	}
	return (time.Duration(n) * time.Millisecond).String()
}

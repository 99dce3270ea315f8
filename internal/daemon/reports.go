package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/account"
	"boragepulley/internal/control"
	"boragepulley/internal/model"
	"boragepulley/internal/operator"
	"boragepulley/internal/peer"
)

// buildReport makes a report of everything that is stored and of what the live entry
// VMs have not stored yet. Error: operator.ErrUnavailable if the store does not answer,
// because a report of a part of the account would not say so.
//
// The unstored records are collected before the store is read: records that are stored
// in between are then in both, and in the other order they would be in neither.
func (d *Daemon) buildReport(ctx context.Context) (*account.Report, error) {
	now := time.Now()
	batches, live, gone := d.unstored(ctx)
	in, err := account.Load(ctx, d.Services)
	if err != nil {
		return nil, errors.WithMessage(operator.ErrUnavailable, err.Error())
	}
	in.Batches = append(in.Batches, batches...)
	in.Live, in.Gone, in.Now = live, gone, now
	return account.Build(in), nil
}

// unstored collects the unstored batches of this entry VM and of its peers. The map
// holds the processes that answered, true if they sent everything, and the entry VMs
// whose other processes have ended.
func (d *Daemon) unstored(ctx context.Context) ([]account.Batch, map[model.Incarnation]bool, map[model.EntryVM]bool) {
	var mu sync.Mutex
	batches := d.ledger.Unstored()
	live := map[model.Incarnation]bool{d.self.Incarnation: true}
	gone := map[model.EntryVM]bool{d.self.Entry: true}
	pulls := parallel{log: d.log}
	for name, c := range d.links.clients {
		pulls.run("collecting unstored records", func() {
			got, from, complete, err := pull(ctx, c, d.self)
			if err != nil {
				ended := d.certainlyGone(name)
				mu.Lock()
				gone[name] = ended
				mu.Unlock()
				d.log.Warn().Err(err).Msg("Unstored records of an entry VM are missing from the report.")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			batches = append(batches, got...)
			live[from.Incarnation] = complete
			gone[name] = true
		})
	}
	_ = pulls.wait() // an entry VM whose records could not be collected is in neither map
	return batches, live, gone
}

// certainlyGone reports whether an entry VM that did not answer has ended. Only entry
// VMs of the own data centre can be judged by refused connections: between data centres
// a cut link may refuse them too.
func (d *Daemon) certainlyGone(n model.EntryVM) bool {
	p := d.control.Snapshot().Peers[n]
	return p.DC == d.self.DC && p.Status == control.MemberGone
}

func pull(ctx context.Context, c *peer.Client, self peer.Sender) ([]account.Batch, peer.Sender, bool, error) {
	r, err := c.PullRecords(ctx, &peer.PullRecords{From: self})
	if err != nil {
		return nil, peer.Sender{}, false, err
	}
	var out []account.Batch
	for _, data := range r.Batches {
		b, err := account.DecodeBatch(data)
		if err != nil {
			return nil, peer.Sender{}, false, err
		}
		out = append(out, b)
	}
	return out, r.From, r.Complete, nil
}

// reportSource implements operator.ReportSource.
type reportSource struct{ *Daemon }

// Report writes the account of the site.
func (s reportSource) Report(ctx context.Context, q operator.ReportQuery) ([]byte, error) {
	r, err := s.buildReport(ctx)
	if err != nil {
		return nil, err
	}
	r = r.Between(q.From, q.To)
	var buf bytes.Buffer
	switch q.Format {
	case operator.ReportHTML:
		err = r.WriteHTML(&buf)
	case operator.ReportJSON:
		err = json.NewEncoder(&buf).Encode(r)
	default:
		err = r.WriteText(&buf)
	}
	return buf.Bytes(), errors.Wrap(err, "daemon: report")
}

// jobSource implements operator.JobSource from the account.
type jobSource struct{ *Daemon }

// Jobs returns the newest jobs first.
func (s jobSource) Jobs(ctx context.Context, q operator.JobQuery) (operator.JobList, error) {
	r, err := s.buildReport(ctx)
	if err != nil {
		return operator.JobList{}, err
	}
	var out operator.JobList
	all := r.Jobs()
	for i := len(all) - 1; i >= 0; i-- {
		j := all[i]
		if !matches(q, j) {
			continue
		}
		if len(out.Jobs) == q.Limit {
			out.More = true
			break
		}
		out.Jobs = append(out.Jobs, summary(j))
	}
	if len(r.Gaps) > 0 {
		out.Note = "the account has gaps; see the report"
	}
	return out, nil
}

func matches(q operator.JobQuery, j *account.Job) bool {
	return (q.Team == "" || q.Team == j.Team) && (q.Queue == "" || q.Queue == j.Queue) &&
		(q.State == "" || q.State == j.State)
}

func summary(j *account.Job) operator.JobSummary {
	updated := j.Accepted
	if n := len(j.Steps); n > 0 {
		updated = j.Steps[n-1].Time
	}
	return operator.JobSummary{
		Job: j.ID, State: j.State, Reason: j.Reason, Queue: j.Queue, Team: j.Team, RequestID: j.RequestID,
		Minion: j.Minion, Attempts: j.Attempts, Accepted: j.Accepted, Updated: updated,
	}
}

// Explain returns everything known about one job.
func (s jobSource) Explain(ctx context.Context, id model.JobID) (operator.Explanation, error) {
	r, err := s.buildReport(ctx)
	if err != nil {
		return operator.Explanation{}, err
	}
	j := r.Job(id)
	if j == nil {
		return operator.Explanation{}, operator.ErrJobNotFound
	}
	return operator.Explanation{Job: summary(j), Outcome: j.State.Outcome(), Steps: j.Steps}, nil
}

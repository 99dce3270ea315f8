package main

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"boragepulley/internal/config"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/operator"
)

// pollInterval is the time between two looks at the status while an apply waits.
const pollInterval = 200 * time.Millisecond

type checkCmd struct{ pathArgs }

// checkOutput is the JSON output of check.
type checkOutput struct {
	OK     bool          `json:"ok"`
	Files  int           `json:"files"`
	Digest string        `json:"digest"`
	Faults config.Faults `json:"faults"`
}

func (c *checkCmd) Run(a *app) error {
	files, err := c.load()
	if err != nil {
		return err
	}
	site, faults := config.Parse(files)
	r := checkOutput{OK: site != nil, Files: len(files), Digest: config.Digest(files), Faults: faults}
	a.print(r, func(p *printer) { p.check(r) })
	if site == nil {
		return &statusError{exitRefused, ""}
	}
	return nil
}

type planCmd struct{ pathArgs }

func (c *planCmd) Run(a *app) error {
	cl, err := a.client()
	if err != nil {
		return err
	}
	files, err := c.load()
	if err != nil {
		return err
	}
	r, err := cl.Plan(a.ctx, files)
	if err != nil {
		return err
	}
	a.print(r, func(p *printer) { p.plan(r) })
	return nil
}

type applyCmd struct {
	pathArgs
	Base     *uint64       `help:"Version that the files are based on, as plan shows it. Without it, the newest version at the start of the command."`
	Operator string        `help:"Name of the operator that conflicts and the account show." env:"BORAGEPULLEY_OPERATOR,USER" placeholder:"NAME"`
	ApplyID  string        `help:"Apply id of an earlier try whose outcome is unknown; give its --base as well. It is never applied twice." placeholder:"ID"`
	Wait     time.Duration `help:"How long to wait until the files are in force everywhere; 0 returns once they are stored." default:"10s"`
}

// applyState is how far an apply has come.
type applyState string

const (
	stateStored     applyState = "stored"
	stateInForce    applyState = "in_force_partly"
	stateEverywhere applyState = "in_force_everywhere"
	stateSuperseded applyState = "superseded"
)

// applyOutput is the JSON output of apply.
type applyOutput struct {
	State  applyState           `json:"state"`
	Result operator.ApplyResult `json:"result"`
	// Configuration is the last status that was seen; nil if none was.
	Configuration *operator.ConfigurationStatus `json:"configuration,omitempty"`
	// WaitedMS is the time from the answer to the last status, in milliseconds.
	WaitedMS int64 `json:"waited_ms"`
}

func (c *applyCmd) Run(a *app) error {
	cl, err := a.client()
	if err != nil {
		return err
	}
	if c.Operator == "" {
		return usageError{errors.New("no operator name: use --operator or BORAGEPULLEY_OPERATOR")}
	}
	if c.ApplyID != "" && c.Base == nil {
		return usageError{errors.New("--apply-id needs the --base of the earlier try")}
	}
	files, err := c.load()
	if err != nil {
		return err
	}
	if site, faults := config.Parse(files); site == nil {
		a.print(checkOutput{Files: len(files), Digest: config.Digest(files), Faults: faults}, func(p *printer) { p.faults(faults) })
		return &statusError{exitRefused, ""}
	}
	r := operator.ApplyRequest{ApplyID: c.ApplyID, Operator: c.Operator, Files: files}
	if r.ApplyID == "" {
		r.ApplyID = ulid.Make().String()
	}
	if r.BaseVersion, err = c.base(a, cl); err != nil {
		return err
	}
	result, err := cl.Apply(a.ctx, r)
	if errors.Is(err, operator.ErrOutcomeUnknown) {
		return errors.WithMessagef(err, "to settle it, repeat with --apply-id %s --base %d", r.ApplyID, r.BaseVersion)
	}
	if err != nil {
		return err
	}
	return c.await(a, cl, result)
}

func (c *applyCmd) base(a *app, cl *operator.Client) (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	s, err := cl.Status(a.ctx)
	return s.Configuration.Head.Version, err
}

// await prints the progress of an accepted version until it is in force everywhere.
func (c *applyCmd) await(a *app, cl *operator.Client, r operator.ApplyResult) error {
	out := applyOutput{State: stateStored, Result: r}
	p := &printer{w: a.out}
	if !a.json {
		p.stored(r)
	}
	c.poll(a, cl, &out, p)
	if a.json {
		a.print(out, nil)
	}
	if c.Wait <= 0 || out.done() {
		return nil
	}
	if !a.json && out.Configuration != nil {
		p.missing(out.Configuration.Missing)
	}
	return &statusError{exitNotEverywhere, "stored, but not in force everywhere within " + c.Wait.String()}
}

// poll looks at the status until the version is in force everywhere or the time is over. A
// status of a server that does not know the version yet says nothing about it.
func (c *applyCmd) poll(a *app, cl *operator.Client, out *applyOutput, p *printer) {
	ctx, cancel := context.WithTimeout(a.ctx, c.Wait)
	defer cancel()
	start := time.Now()
	for ctx.Err() == nil {
		s, err := cl.Status(ctx)
		if err == nil && s.Configuration.Head.Version >= out.Result.Version {
			before := out.Configuration
			out.WaitedMS = time.Since(start).Milliseconds()
			out.update(s.Configuration)
			if !a.json && (before == nil || before.InForce != s.Configuration.InForce || out.done()) {
				p.inForce(*out)
			}
		}
		if out.done() {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}

func (o *applyOutput) done() bool { return o.State == stateEverywhere || o.State == stateSuperseded }

func (o *applyOutput) update(s operator.ConfigurationStatus) {
	o.Configuration = &s
	switch {
	case s.Head.Version > o.Result.Version:
		o.State = stateSuperseded
	case s.Everywhere:
		o.State = stateEverywhere
	case s.InForce > 0:
		o.State = stateInForce
	}
}

type statusCmd struct {
	Entry []string `help:"Metrics address HOST:PORT of an entry VM on the users' platform; repeat it to ask several. No token is needed." placeholder:"HOST:PORT"`
}

func (c *statusCmd) Run(a *app) error {
	if len(c.Entry) > 0 {
		return siteStatus(a, c.Entry)
	}
	cl, err := a.client()
	if err != nil {
		return err
	}
	s, err := cl.Status(a.ctx)
	if err != nil {
		return err
	}
	a.print(s, func(p *printer) { p.status(s) })
	return nil
}

type jobsCmd struct {
	Team  string `help:"Only jobs of this team." placeholder:"NAME"`
	Queue string `help:"Only jobs of this queue." placeholder:"NAME"`
	State string `help:"Only jobs in this state: ${enum}." enum:",accepted,queued,dispatched,ran,refused,cancelled,unknown" default:"" placeholder:"STATE"`
	Limit int    `help:"Largest number of jobs, from 1 to 1000." default:"100"`
}

func (c *jobsCmd) Run(a *app) error {
	if c.Limit < 1 || c.Limit > operator.MaxJobs {
		return usageError{errors.Errorf("--limit: want a number from 1 to %d", operator.MaxJobs)}
	}
	cl, err := a.client()
	if err != nil {
		return err
	}
	r, err := cl.Jobs(a.ctx, operator.JobQuery{Team: model.Team(c.Team), Queue: model.Queue(c.Queue), State: model.State(c.State), Limit: c.Limit})
	if err != nil {
		return err
	}
	a.print(r, func(p *printer) { p.jobs(r) })
	return nil
}

type explainCmd struct {
	Job   string   `arg:"" help:"Job id, as answers show it in X-Job-Id. With logs, also the Request-Id of a caller."`
	Logs  []string `arg:"" optional:"" help:"Files with the log lines of entry VMs, in any order; - is standard input. Without them, a server is asked." placeholder:"LOG"`
	Entry []string `help:"Metrics address HOST:PORT of an entry VM on the users' platform; repeat it to ask several. Shows what the coordinator knows of the job now." placeholder:"HOST:PORT"`
}

func (c *explainCmd) Run(a *app) error {
	if len(c.Entry) > 0 && len(c.Logs) > 0 {
		return usageError{errors.New("--entry asks the live system and can not be combined with logs")}
	}
	if len(c.Entry) > 0 {
		return siteJob(a, c.Entry, jobs.ID(c.Job))
	}
	if len(c.Logs) > 0 {
		return c.fromLogs(a)
	}
	id := model.JobID(c.Job)
	if _, err := id.Entry(); err != nil {
		return usageError{err}
	}
	cl, err := a.client()
	if err != nil {
		return err
	}
	r, err := cl.Explain(a.ctx, id)
	if err != nil {
		return err
	}
	a.print(r, func(p *printer) { p.explanation(r) })
	return nil
}

type reportCmd struct {
	Format string    `help:"Format: ${enum}. Without it, that of --output." enum:",text,json,html" default:"" placeholder:"FORMAT"`
	From   time.Time `help:"Start of the period, such as 2027-03-01T00:00:00Z." placeholder:"TIME"`
	To     time.Time `help:"End of the period." placeholder:"TIME"`
}

func (c *reportCmd) Run(a *app) error {
	cl, err := a.client()
	if err != nil {
		return err
	}
	format := operator.ReportFormat(c.Format)
	if format == "" {
		format = operator.ReportText
		if a.json {
			format = operator.ReportJSON
		}
	}
	body, err := cl.Report(a.ctx, operator.ReportQuery{Format: format, From: c.From, To: c.To})
	if err != nil {
		return err
	}
	_, err = a.out.Write(body)
	return errors.Wrap(err, "write the report")
}

type versionCmd struct{}

// versionOutput is the JSON output of version.
type versionOutput struct {
	Tool   operator.BuildInfo  `json:"tool"`
	Server *operator.BuildInfo `json:"server,omitempty"`
}

func (*versionCmd) Run(a *app) error {
	r := versionOutput{Tool: operator.Build()}
	if len(a.servers) > 0 {
		cl, err := a.client()
		if err != nil {
			return err
		}
		v, err := cl.Version(a.ctx)
		if err != nil {
			return err
		}
		r.Server = &v
	}
	a.print(r, func(p *printer) { p.version(r) })
	return nil
}

type keyNewCmd struct {
	ID   string `help:"Public id of the key, unique in the site." required:"" placeholder:"ID"`
	Team string `help:"Team that the key belongs to." required:"" placeholder:"NAME"`
}

// keyOutput is the JSON output of key new.
type keyOutput struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	// Key is what callers present.
	Key    string `json:"key"`
	SHA256 string `json:"sha256"`
}

func (c *keyNewCmd) Run(a *app) error {
	if !config.ValidName(c.ID) {
		return usageError{errors.New("--id: want 1 to 63 lower-case letters, digits and inner hyphens")}
	}
	if !config.ValidName(c.Team) {
		return usageError{errors.New("--team: want 1 to 63 lower-case letters, digits and inner hyphens")}
	}
	secret := config.NewSecret()
	h := config.KeyHash(secret)
	r := keyOutput{ID: c.ID, Team: c.Team, Key: config.KeyText(c.ID, secret), SHA256: hex.EncodeToString(h[:])}
	a.print(r, func(p *printer) { p.key(r) })
	return nil
}

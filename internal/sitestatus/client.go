package sitestatus

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/jobs"
)

var (
	// ErrUnreachable means that an entry VM did not answer, or not with a report.
	ErrUnreachable = errors.New("sitestatus: entry VM does not answer")
	// ErrNotFound means that no entry VM that answered coordinates the site and knows the job.
	ErrNotFound = errors.New("sitestatus: no coordinator knows the job")
)

const (
	// callTimeout bounds the call of one entry VM.
	callTimeout = 3 * time.Second
	// maxReport bounds a report, in bytes: 1,200 minions take about 200 KB.
	maxReport = 16 << 20
)

// Answer is the answer of one entry VM. Err is set in place of Entry if it did not answer.
type Answer struct {
	Addr  string
	Entry *Entry
	Err   error
}

// Ask asks all entry VMs at once for their status. The answers are in the order of the addresses,
// which are "host:port".
func Ask(ctx context.Context, addrs []string) []Answer {
	out := make([]Answer, len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() {
			e := &Entry{}
			_, err := get(ctx, addr, StatusPath, e)
			if err != nil {
				e = nil
			}
			out[i] = Answer{addr, e, err}
		})
	}
	wg.Wait()
	return out
}

// AskForJob asks all entry VMs at once for a job and returns the answer of the coordinator with the
// highest epoch. Errors: ErrNotFound; ErrUnreachable if no entry VM answered.
func AskForJob(ctx context.Context, addrs []string, id jobs.ID) (*Job, error) {
	found := make([]*Job, len(addrs))
	errs := make([]error, len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() {
			var j Job
			var ok bool
			if ok, errs[i] = get(ctx, addr, JobPath+url.PathEscape(string(id)), &j); ok {
				found[i] = &j
			}
		})
	}
	wg.Wait()
	var newest *Job
	for _, j := range found {
		if j != nil && (newest == nil || j.Epoch > newest.Epoch) {
			newest = j
		}
	}
	if newest != nil {
		return newest, nil
	}
	for _, err := range errs {
		if err == nil {
			return nil, errors.WithStack(ErrNotFound)
		}
	}
	return nil, errors.WithStack(ErrUnreachable)
}

// get reads a report into out. ok is false, without an error, if the entry VM answered 404.
func get(ctx context.Context, addr, path string, out any) (ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return false, errors.Wrap(ErrUnreachable, err.Error())
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, errors.Wrap(ErrUnreachable, err.Error())
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return false, nil
	default:
		return false, errors.Wrapf(ErrUnreachable, "%s answers %s", addr, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReport))
	if err != nil {
		return false, errors.Wrap(ErrUnreachable, err.Error())
	}
	if err := json.Unmarshal(body, out); err != nil {
		return false, errors.Wrapf(ErrUnreachable, "%s does not answer with a report: %v", addr, err)
	}
	return true, nil
}

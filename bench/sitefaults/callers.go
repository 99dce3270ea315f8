package sitefaults

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// callerDeadline is how long a caller waits for an answer, callerSlack more until it takes
	// the connection for broken.
	callerDeadline = 3 * time.Second
	callerSlack    = 200 * time.Millisecond
	retryPause     = 100 * time.Millisecond
	refusalPause   = time.Second
	statePause     = 700 * time.Millisecond
)

// callers hand jobs in and ask for their states.
type callers struct {
	entries []*entryVM
	client  *http.Client
	check   *checker
	wg      sync.WaitGroup
}

// reply is an answer to a caller; Status is 0 if there was none.
type answer struct {
	status int
	state  string
	from   *entryVM
}

func newCallers(entries []*entryVM, check *checker) *callers {
	return &callers{entries: entries, check: check, client: &http.Client{Timeout: callerDeadline + callerSlack, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

func (c *callers) call(ctx context.Context, rng *rand.Rand, method string, j *jobSpec) answer {
	e := c.entries[rng.IntN(len(c.entries))]
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader(j.body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.caller+j.path(), body)
	if err != nil {
		return answer{from: e}
	}
	req.Host = j.host()
	req.Header.Set("Api-Key", apiKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Boragepulley-Deadline-Ms", strconv.Itoa(int(callerDeadline.Milliseconds())))
	res, err := c.client.Do(req)
	if err != nil {
		return answer{from: e}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{from: e}
	}
	var v struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &v) // most answers have no body
	return answer{status: res.StatusCode, state: v.State, from: e}
}

// handIn hands a job in until it is accepted, and asks for its state until it has ended.
func (c *callers) handIn(ctx context.Context, j *jobSpec, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	c.check.handedIn(j)
	for {
		a := c.call(ctx, rng, http.MethodPost, j)
		if a.status/100 == 2 {
			break
		}
		c.check.submitAnswered(j, a.status)
		pause := retryPause
		if a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable {
			pause = refusalPause
		}
		if !sleep(ctx, pause) {
			return
		}
	}
	c.check.accepted(j)
	for sleep(ctx, statePause) {
		a := c.call(ctx, rng, http.MethodGet, j)
		if c.check.stateAnswered(j, a) {
			return
		}
	}
}

// cancel cancels a job until that is acknowledged.
func (c *callers) cancel(ctx context.Context, j *jobSpec, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	c.check.cancelSent(j)
	for {
		a := c.call(ctx, rng, http.MethodDelete, j)
		if a.status/100 == 2 || a.status == http.StatusGone {
			c.check.cancelled(j)
			return
		}
		if !sleep(ctx, retryPause) {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

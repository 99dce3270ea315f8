package sitefaults

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"boragepulley/bench/proc"
)

const (
	// callerDeadline is how long a caller waits for an answer, callerSlack more until it takes
	// the connection for broken.
	callerDeadline = 3 * time.Second
	callerSlack    = 200 * time.Millisecond
	retryPause     = 100 * time.Millisecond
	refusalPause   = time.Second
	statePause     = 700 * time.Millisecond
	heldPause      = 20 * time.Millisecond
	// endedPause is the time between two questions about a job that has ended.
	endedPause = 2 * time.Second
)

// callers hand jobs in and ask for their states.
type callers struct {
	entries []*entryVM
	client  *http.Client
	check   *checker
	configs *configs
	wg      sync.WaitGroup
}

// answer is an answer to a caller; status is 0 if there was none.
type answer struct {
	status int
	state  string
	from   *entryVM
	// sent is when the call began.
	sent time.Time
}

func newClient() *http.Client {
	return &http.Client{Timeout: callerDeadline + callerSlack, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
}

func newCallers(entries []*entryVM, check *checker, configs *configs) *callers {
	return &callers{entries: entries, check: check, client: newClient(), configs: configs}
}

func (c *callers) call(ctx context.Context, rng *rand.Rand, method string, j *jobSpec) answer {
	var body []byte
	if method == http.MethodPost {
		body = j.body
	}
	return c.ask(ctx, c.client, c.entries[rng.IntN(len(c.entries))], method, j.path(), apiKey, body)
}

// ask sends a request to an entry VM. It reports a request that was sent in full and cut off later
// than cutSlack after that, though neither the entry VM nor the store was disturbed.
func (c *callers) ask(ctx context.Context, client *http.Client, e *entryVM, method, path, key string, body []byte) answer {
	a := answer{from: e, sent: time.Now()}
	var written atomic.Int64
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			written.Store(time.Now().UnixNano())
		}
	}})
	req, err := http.NewRequestWithContext(traced, method, "http://"+e.caller+path, bytes.NewReader(body))
	if err != nil {
		return a
	}
	req.Host = jobsHost
	req.Header.Set("Api-Key", key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Boragepulley-Deadline-Ms", strconv.Itoa(int(callerDeadline.Milliseconds())))
	res, err := client.Do(req)
	var data []byte
	if err == nil {
		data, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
	}
	if err != nil {
		if at := written.Load(); at != 0 && ctx.Err() == nil {
			c.check.cutOff(a, method+" "+path, time.Unix(0, at), err)
		}
		return a
	}
	var v struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &v) // most answers have no body
	a.status, a.state = res.StatusCode, v.State
	return a
}

// holdConnections keeps connections to an entry VM open until its process is gone: one that sends
// nothing, one that stops within a request, and one on which requests go on as long as it lasts.
func (c *callers) holdConnections(ctx context.Context, e *entryVM, p *proc.Process) {
	for _, text := range []string{"", "GET / HTTP/1.1\r\nHost: "} {
		conn, err := net.DialTimeout("tcp", e.caller, callerDeadline)
		if err != nil {
			continue // the process does not listen yet or any more
		}
		defer conn.Close()
		_, _ = conn.Write([]byte(text)) // fails once the process has ended it
	}
	client := newClient()
	defer client.CloseIdleConnections()
	for p.Running() && sleep(ctx, heldPause) {
		c.ask(ctx, client, e, http.MethodGet, "/"+services[0]+"/short/", apiKey, nil)
	}
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
	for pause := statePause; sleep(ctx, pause); {
		if c.check.ended(j) {
			pause = endedPause
		}
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
		if a.status/100 == 2 {
			c.check.cancelled(j)
			return
		}
		c.check.cancelAnswered(j, a)
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

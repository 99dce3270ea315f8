package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Headers of the HTTP protocol between entry VMs and minions.
const (
	HeaderJobID      = "X-Job-Id"
	HeaderAttempt    = "X-Attempt"
	HeaderDeadlineMs = "X-Deadline-Ms"
	HeaderDigest     = "X-Digest"
	HeaderNotStarted = "X-Not-Started"
)

// earlyAnswerWait limits the wait for an answer after the request could not be written
// completely: a minion that rejects a job may answer before it has read the body.
const earlyAnswerWait = 500 * time.Millisecond

// Digest returns the X-Digest value of a body: its xxhash64 as 16 hex digits.
func Digest(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

func runRequestHead(c Call) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /run HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", c.Addr, len(c.Body))
	if c.ContentType != "" {
		fmt.Fprintf(&b, "Content-Type: %s\r\n", sanitizeHeader(c.ContentType))
	}
	left := max(time.Until(c.Deadline).Milliseconds(), 1)
	fmt.Fprintf(&b, "%s: %s\r\n%s: %d\r\n%s: %d\r\n\r\n",
		HeaderJobID, sanitizeHeader(string(c.Job)), HeaderAttempt, c.Attempt, HeaderDeadlineMs, left)
	return b.Bytes()
}

func statusRequestHead(addr string) []byte {
	return []byte("GET /status HTTP/1.1\r\nHost: " + addr + "\r\n\r\n")
}

// sanitizeHeader removes control characters. A line break would end the header and allow
// others to be injected.
func sanitizeHeader(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return -1
		}
		return r
	}, s)
}

// exchange holds the request and the limits of one exchange on a connection.
type exchange struct {
	head  []byte
	body  []byte
	until time.Time
	// limit is the maximum size of the answer's body, in bytes.
	limit int64
	// check, if set, runs immediately before the request is written, and can prevent it.
	check func() error
}

// response is an HTTP response whose body was read completely.
type response struct {
	status   int
	header   http.Header
	body     []byte
	reusable bool
}

// exchange writes the request and reads the answer. Errors: ErrNotReached (no byte was
// written), ErrAnswerLost, ErrAnswerIncomplete. The connection must not be used after an error.
func (c *conn) exchange(ctx context.Context, x exchange) (response, error) {
	if err := c.SetDeadline(x.until); err != nil {
		return response{}, newCallError(ErrNotReached, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()

	bufs := net.Buffers{x.head}
	if len(x.body) > 0 {
		bufs = append(bufs, x.body)
	}
	if x.check != nil {
		if err := x.check(); err != nil {
			return response{}, newCallError(ErrNotReached, err)
		}
	}
	n, werr := bufs.WriteTo(c.Conn)
	if werr != nil {
		c.noteError(werr)
		if n == 0 {
			return response{}, newCallError(ErrNotReached, werr)
		}
		early := time.Now().Add(earlyAnswerWait)
		if early.Before(x.until) && ctx.Err() == nil {
			_ = c.SetDeadline(early)
		}
	}
	c.lr.N = maxHeader + x.limit
	resp, err := readResponse(c, x.limit)
	c.noteError(err)
	if werr != nil {
		resp.reusable = false
		if err != nil {
			return resp, newCallError(ErrAnswerLost, errors.Wrap(werr, "write request"))
		}
	}
	if err == nil && !stop() {
		// The context was cancelled, which may have set the connection's deadline to the past.
		resp.reusable = false
	}
	return resp, err
}

func readResponse(c *conn, limit int64) (response, error) {
	for {
		if _, err := c.br.Peek(1); err != nil {
			return response{}, newCallError(ErrAnswerLost, err)
		}
		r, err := http.ReadResponse(c.br, nil)
		if err != nil {
			return response{}, newCallError(ErrAnswerIncomplete, errors.Wrap(err, "read status line and headers"))
		}
		if r.StatusCode >= 200 {
			return readBody(r, limit)
		}
	}
}

func readBody(r *http.Response, limit int64) (response, error) {
	defer r.Body.Close()
	out := response{status: r.StatusCode, header: r.Header, reusable: !r.Close}
	switch {
	case r.ContentLength < 0:
		return out, newCallError(ErrAnswerIncomplete, errors.New("no Content-Length"))
	case r.ContentLength > limit:
		return out, newCallError(ErrAnswerIncomplete, errors.Errorf("answer of %d bytes, limit %d", r.ContentLength, limit))
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return out, newCallError(ErrAnswerIncomplete, errors.Wrapf(err, "read %d of %d body bytes", len(body), r.ContentLength))
	}
	out.body = body
	return out, nil
}

// verifyAnswer verifies that a response belongs to the attempt of the call and is complete.
func verifyAnswer(call Call, r response) (Answer, error) {
	notStarted := r.status == http.StatusServiceUnavailable && r.header.Get(HeaderNotStarted) == "true"
	job, attempt := r.header.Get(HeaderJobID), r.header.Get(HeaderAttempt)
	// A rejection may lack the job and attempt if the minion sent it before it read them. One
	// that names another job or attempt belongs to another call.
	if job != string(call.Job) && !(notStarted && job == "") {
		return Answer{}, newCallError(ErrAnswerIncomplete, errors.Errorf("answer for job %q", job))
	}
	if attempt != strconv.Itoa(call.Attempt) && !(notStarted && attempt == "") {
		return Answer{}, newCallError(ErrAnswerIncomplete, errors.Errorf("answer for attempt %q, want %d", attempt, call.Attempt))
	}
	if notStarted {
		return Answer{}, newCallError(ErrNotStarted, errors.Errorf("HTTP status %d", r.status))
	}
	if got, want := r.header.Get(HeaderDigest), Digest(r.body); !strings.EqualFold(got, want) {
		return Answer{}, newCallError(ErrAnswerIncomplete, errors.Errorf("digest %q, want %s", got, want))
	}
	return Answer{Status: r.status, ContentType: r.header.Get("Content-Type"), Body: r.body}, nil
}

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

// Headers of the minion contract.
const (
	HeaderJobID      = "X-Job-Id"
	HeaderAttempt    = "X-Attempt"
	HeaderDeadlineMs = "X-Deadline-Ms"
	HeaderDigest     = "X-Digest"
	HeaderNotStarted = "X-Not-Started"
)

// earlyAnswerWait bounds the wait for an answer after the request could not be written
// completely: a minion that refuses may answer before it has read the body.
const earlyAnswerWait = 500 * time.Millisecond

// Digest returns the X-Digest value of a body: its xxhash64 as 16 hex digits.
func Digest(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

func runHead(c Call) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /run HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", c.Addr, len(c.Body))
	if c.ContentType != "" {
		fmt.Fprintf(&b, "Content-Type: %s\r\n", headerValue(c.ContentType))
	}
	left := max(time.Until(c.Deadline).Milliseconds(), 1)
	fmt.Fprintf(&b, "%s: %s\r\n%s: %d\r\n%s: %d\r\n\r\n",
		HeaderJobID, headerValue(string(c.Job)), HeaderAttempt, c.Attempt, HeaderDeadlineMs, left)
	return b.Bytes()
}

func statusHead(addr string) []byte {
	return []byte("GET /status HTTP/1.1\r\nHost: " + addr + "\r\n\r\n")
}

// headerValue removes line breaks and other control characters, which could end the header.
func headerValue(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return -1
		}
		return r
	}, s)
}

// exchange is one request on a connection.
type exchange struct {
	head  []byte
	body  []byte
	until time.Time
	// limit bounds the answer's body in bytes.
	limit int64
}

// response is an answer that was read to its end.
type response struct {
	status   int
	header   http.Header
	body     []byte
	reusable bool
}

// exchange writes the request and reads the answer. Errors: ErrNotReached (no byte was
// written), ErrAnswerLost, ErrAnswerNotWhole. After an error the connection is unusable.
func (c *conn) exchange(ctx context.Context, x exchange) (response, error) {
	if err := c.SetDeadline(x.until); err != nil {
		return response{}, failure(ErrNotReached, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()

	bufs := net.Buffers{x.head}
	if len(x.body) > 0 {
		bufs = append(bufs, x.body)
	}
	n, werr := bufs.WriteTo(c.Conn)
	if werr != nil {
		if n == 0 {
			return response{}, failure(ErrNotReached, werr)
		}
		early := time.Now().Add(earlyAnswerWait)
		if early.Before(x.until) && ctx.Err() == nil {
			_ = c.SetDeadline(early)
		}
	}
	c.lr.N = maxHeader + x.limit
	resp, err := readResponse(c, x.limit)
	if werr != nil {
		resp.reusable = false
		if err != nil {
			return resp, failure(ErrAnswerLost, errors.Wrap(werr, "request not written completely"))
		}
	}
	if err == nil && !stop() {
		// The cancellation may have changed the deadline of the connection.
		resp.reusable = false
	}
	return resp, err
}

func readResponse(c *conn, limit int64) (response, error) {
	for {
		if _, err := c.br.Peek(1); err != nil {
			return response{}, failure(ErrAnswerLost, err)
		}
		r, err := http.ReadResponse(c.br, nil)
		if err != nil {
			return response{}, failure(ErrAnswerNotWhole, errors.Wrap(err, "head of the answer"))
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
		return out, failure(ErrAnswerNotWhole, errors.New("no Content-Length"))
	case r.ContentLength > limit:
		return out, failure(ErrAnswerNotWhole, errors.Errorf("answer of %d bytes, limit %d", r.ContentLength, limit))
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return out, failure(ErrAnswerNotWhole, errors.Wrapf(err, "%d of %d bytes", len(body), r.ContentLength))
	}
	out.body = body
	return out, nil
}

// checkAnswer verifies that a response is the whole answer to the call's own attempt.
func checkAnswer(call Call, r response) (Answer, error) {
	notStarted := r.status == http.StatusServiceUnavailable && r.header.Get(HeaderNotStarted) == "true"
	job, attempt := r.header.Get(HeaderJobID), r.header.Get(HeaderAttempt)
	// A refusal may come from a part of the minion that does not know the job; a refusal
	// that names another job or attempt is not ours.
	if job != string(call.Job) && !(notStarted && job == "") {
		return Answer{}, failure(ErrAnswerNotWhole, errors.Errorf("answer for job %q", job))
	}
	if attempt != strconv.Itoa(call.Attempt) && !(notStarted && attempt == "") {
		return Answer{}, failure(ErrAnswerNotWhole, errors.Errorf("answer for attempt %q, want %d", attempt, call.Attempt))
	}
	if notStarted {
		return Answer{}, failure(ErrNotStarted, errors.Errorf("answer %d", r.status))
	}
	if got, want := r.header.Get(HeaderDigest), Digest(r.body); !strings.EqualFold(got, want) {
		return Answer{}, failure(ErrAnswerNotWhole, errors.Errorf("digest %q, want %s", got, want))
	}
	return Answer{Status: r.status, ContentType: r.header.Get("Content-Type"), Body: r.body}, nil
}

package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/dispatch"
	"boragepulley/internal/model"
)

// Request and response headers of the API.
const (
	headerRequestID    = "X-Request-Id"
	headerIdempotent   = "X-Idempotent"
	headerPriority     = "X-Priority"
	headerDeadlineMs   = "X-Deadline-Ms"
	headerPrefer       = "Prefer"
	headerJobID        = "X-Job-Id"
	headerOutcome      = "X-Outcome"
	headerReason       = "X-Reason"
	headerMinionStatus = "X-Minion-Status"

	headerTaskCores        = "X-Task-Cores"
	headerTaskMemoryMB     = "X-Task-Memory-Mb"
	headerTaskAccelerators = "X-Task-Accelerators"
	headerTaskRunMs        = "X-Task-Run-Ms"
	headerTaskCheckpoint   = "X-Task-Checkpoint"
)

// Limits on the declared size of a task. They exceed the size of every planned worker.
const (
	maxTaskCores        = 4096
	maxTaskMemoryMB     = 16 << 20
	maxTaskAccelerators = 256
	// maxTaskRunMs is a week in milliseconds.
	maxTaskRunMs = 7 * 24 * 3600 * 1000

	defaultTaskCores    = 1
	defaultTaskMemoryMB = 512
)

// maxDeadlineMs is the largest accepted deadline in milliseconds.
const maxDeadlineMs = 600_000

// parseHeaders parses a request's headers. Errors name the header and its valid values.
// Repeated headers are rejected, because it would be ambiguous which value applies.
func parseHeaders(h http.Header) (in dispatch.Submission, async bool, err error) {
	in = dispatch.Submission{Idempotent: true, Priority: model.PriorityNormal, ContentType: h.Get("Content-Type")}
	for _, name := range []string{"Authorization", headerRequestID, headerIdempotent, headerPriority, headerDeadlineMs,
		headerTaskCores, headerTaskMemoryMB, headerTaskAccelerators, headerTaskRunMs, headerTaskCheckpoint} {
		if len(h.Values(name)) > 1 {
			return in, false, errors.Errorf("%s is given more than once", name)
		}
	}
	if in.Key, err = parseKey(h.Get("Authorization")); err != nil {
		return in, false, err
	}
	in.RequestID = h.Get(headerRequestID)
	if !printable(in.RequestID) || len(in.RequestID) > dispatch.MaxRequestID {
		in.RequestID = ""
		return in, false, errors.Errorf("%s: want at most %d printable ASCII characters", headerRequestID, dispatch.MaxRequestID)
	}
	if _, given := h[headerRequestID]; given && in.RequestID == "" {
		return in, false, errors.Errorf("%s is empty", headerRequestID)
	}
	switch v := strings.ToLower(h.Get(headerIdempotent)); v {
	case "", "true":
	case "false":
		in.Idempotent = false
	default:
		return in, false, errors.Errorf("%s: want true or false", headerIdempotent)
	}
	switch v := model.Priority(strings.ToLower(h.Get(headerPriority))); v {
	case "", model.PriorityNormal:
	case model.PriorityUrgent:
		in.Priority = v
	default:
		return in, false, errors.Errorf("%s: want urgent or normal", headerPriority)
	}
	if in.Deadline, err = parseDeadline(h.Get(headerDeadlineMs)); err != nil {
		return in, false, err
	}
	if in.Task, err = parseTask(h); err != nil {
		return in, false, err
	}
	return in, prefersAsync(h.Values(headerPrefer)), nil
}

// parseTask parses the headers that declare a task. Queues of other kinds ignore them.
func parseTask(h http.Header) (t dispatch.TaskSpec, err error) {
	number := func(name string, def, smallest, largest int) int {
		v := h.Get(name)
		if v == "" || err != nil {
			return def
		}
		n, e := strconv.Atoi(v)
		if e != nil || n < smallest || n > largest {
			err = errors.Errorf("%s: want a number from %d to %d", name, smallest, largest)
		}
		return n
	}
	t.Size.Cores = number(headerTaskCores, defaultTaskCores, 1, maxTaskCores)
	t.Size.MemoryMB = number(headerTaskMemoryMB, defaultTaskMemoryMB, 1, maxTaskMemoryMB)
	t.Size.Accelerators = number(headerTaskAccelerators, 0, 0, maxTaskAccelerators)
	t.RunMS = int64(number(headerTaskRunMs, 0, 1, maxTaskRunMs))
	switch strings.ToLower(h.Get(headerTaskCheckpoint)) {
	case "", "false":
	case "true":
		t.CanCheckpoint = true
	default:
		err = firstError(err, errors.Errorf("%s: want true or false", headerTaskCheckpoint))
	}
	return t, err
}

// firstError returns the first error that is not nil.
func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// parseKey returns the "<key id>.<secret>" of an Authorization header, or "" if the header
// is empty.
func parseKey(v string) (string, error) {
	if v == "" {
		return "", nil
	}
	scheme, key, _ := strings.Cut(v, " ")
	key = strings.TrimSpace(key)
	id, secret, ok := strings.Cut(key, ".")
	if !strings.EqualFold(scheme, "Bearer") || !ok || id == "" || secret == "" || !printable(key) {
		return "", errors.New("Authorization: want Bearer <key id>.<secret>")
	}
	return key, nil
}

func parseDeadline(v string) (time.Duration, error) {
	if v == "" {
		return 0, nil
	}
	ms, err := strconv.Atoi(v)
	if err != nil || ms < 1 || ms > maxDeadlineMs {
		return 0, errors.Errorf("%s: want a number of milliseconds from 1 to %d", headerDeadlineMs, maxDeadlineMs)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// prefersAsync reports whether a Prefer header contains respond-async (RFC 7240).
func prefersAsync(values []string) bool {
	for _, v := range values {
		for _, p := range strings.Split(v, ",") {
			name, _, _ := strings.Cut(p, ";")
			if strings.EqualFold(strings.TrimSpace(name), "respond-async") {
				return true
			}
		}
	}
	return false
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

package worker_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/internal/worker"
	standin "boragepulley/standins/worker"
)

func startOrder(id model.JobID) worker.Start {
	return worker.Start{ID: id, Attempt: 1, Cores: 2, MemoryMB: 64, RunMS: 60_000, LeaseMS: 10_000, Payload: []byte(`{"number":1}`)}
}

// Guards against a client whose requests or error mapping do not match the workers' API.
func TestClientWithWorkerStandIn(t *testing.T) {
	w, err := standin.StartWorker(standin.Options{Name: "w", Addr: "127.0.0.1:0", Cores: 4, MemoryMB: 1024})
	require.NoError(t, err)
	t.Cleanup(w.Close)
	c, ctx := worker.NewClient(worker.Options{}), t.Context()
	t.Cleanup(c.Close)
	v, err := c.Start(ctx, w.Addr(), startOrder("job"))
	require.NoError(t, err)
	require.Equal(t, worker.StateRunning, v.State)
	_, err = c.Renew(ctx, w.Addr(), "job", 1, time.Second)
	require.NoError(t, err)
	v, err = c.Throttle(ctx, w.Addr(), "job", 1, 50)
	require.NoError(t, err)
	require.Equal(t, 50, v.Percent)
	big := startOrder("big")
	big.Cores = 4
	_, err = c.Start(ctx, w.Addr(), big)
	require.ErrorIs(t, err, worker.ErrNotStarted)
	list, err := c.List(ctx, w.Addr())
	require.NoError(t, err)
	require.Len(t, list, 1)
	v, err = c.Checkpoint(ctx, w.Addr(), "job", 1, true)
	require.NoError(t, err)
	require.NotEmpty(t, v.Checkpoint)
	v, err = c.Renew(ctx, w.Addr(), "job", 1, time.Second)
	require.ErrorIs(t, err, worker.ErrAttemptEnded)
	require.Equal(t, worker.StateStopped, v.State)
	_, err = c.Stop(ctx, w.Addr(), "none", 1)
	require.ErrorIs(t, err, worker.ErrTaskNotFound)
	w.SetFaults(standin.Faults{LoseAnswers: 1})
	next := startOrder("next")
	_, err = c.Start(ctx, w.Addr(), next)
	require.ErrorIs(t, err, worker.ErrAnswerLost)
	require.False(t, worker.CertainlyNotStarted(err))
}

// Guards against classifying a start that may have taken effect as not started, and the
// other way round.
func TestErrorClassification(t *testing.T) {
	answer := func(status int, header, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if header != "" {
				w.Header().Set("X-Not-Started", header)
			}
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	for name, x := range map[string]struct {
		h          http.HandlerFunc
		want       error
		notStarted bool
	}{
		"not started":        {answer(503, "true", ""), worker.ErrNotStarted, true},
		"503 without header": {answer(503, "", ""), worker.ErrAnswerLost, false},
		"invalid JSON":       {answer(200, "", "x"), worker.ErrAnswerLost, false},
		"malformed":          {answer(400, "", "x"), worker.ErrRejected, true},
		"no answer":          {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, worker.ErrAnswerLost, false},
		"silent": {func(_ http.ResponseWriter, r *http.Request) {
			// net/http detects that the client disconnected only after the body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, worker.ErrAnswerLost, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(x.h)
			defer s.Close()
			c := worker.NewClient(worker.Options{CallTimeout: 200 * time.Millisecond})
			defer c.Close()
			_, err := c.Start(t.Context(), strings.TrimPrefix(s.URL, "http://"), startOrder("job"))
			require.ErrorIs(t, err, x.want)
			require.Equal(t, x.notStarted, worker.CertainlyNotStarted(err))
		})
	}
	c := worker.NewClient(worker.Options{Dial: func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }})
	_, err := c.Start(t.Context(), "127.0.0.1:1", startOrder("job"))
	require.ErrorIs(t, err, worker.ErrNotReached)
}

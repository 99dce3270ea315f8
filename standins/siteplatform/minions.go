package siteplatform

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

const expectInstanceHeader = "X-Boragepulley-Expect-Instance"

// order holds the fields of all orders to a minion.
type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Percent    int    `json:"percent"`
	AckSeq     int64  `json:"ack_seq"`
	WaitMS     int64  `json:"wait_ms"`
}

// minionHandler serves the address of a machine. current returns the machine's present minion, "" for none,
// epochOf the epoch of the coordinator that a fencing token belongs to, 0 if that is not known.
func minionHandler(all *fleet.Minions, current func() jobs.Minion, epochOf func(token uint64) uint64) http.Handler {
	h := &minionServer{all: all, current: current, epochOf: epochOf}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", h.serve(func(r *http.Request, to site.Receiver, o order) (map[string]any, error) {
		clock, err := all.Start(r.Context(), to, site.StartOrder{Task: o.Task, Run: o.Attempt, Payload: o.Spec, LeaseUntil: o.DeadlineMS, Checkpoint: o.Checkpoint})
		return map[string]any{"clock_ms": clock}, err
	}))
	mux.HandleFunc("POST /-/run-stop", h.serve(func(r *http.Request, to site.Receiver, o order) (map[string]any, error) {
		return map[string]any{}, all.Stop(r.Context(), to, site.StopOrder{Task: o.Task, Run: o.Attempt})
	}))
	mux.HandleFunc("POST /-/pace", h.serve(func(r *http.Request, to site.Receiver, o order) (map[string]any, error) {
		return map[string]any{}, all.Throttle(r.Context(), to, site.ThrottleOrder{Task: o.Task, Run: o.Attempt, Percent: o.Percent})
	}))
	mux.HandleFunc("POST /-/hold", h.serve(func(r *http.Request, to site.Receiver, o order) (map[string]any, error) {
		p, err := all.Poll(r.Context(), to, site.PollRequest{LeaseUntil: o.DeadlineMS, Ack: o.AckSeq, Wait: time.Duration(o.WaitMS) * time.Millisecond})
		running, finished := [][]any{}, [][]any{}
		for _, x := range p.Running {
			running = append(running, []any{x.Task, x.Run, x.Checkpoint, x.Percent, x.Load})
		}
		for _, x := range p.Ended {
			finished = append(finished, []any{x.Seq, x.Task, x.Run, x.Outcome, x.Checkpoint})
		}
		return map[string]any{"born": p.Incarnation, "running": running, "finished": finished, "clock_ms": p.Clock}, err
	}))
	return mux
}

type minionServer struct {
	all     *fleet.Minions
	current func() jobs.Minion
	epochOf func(token uint64) uint64
}

// serve checks for which minion an order is and translates the model's answer.
func (h *minionServer) serve(carry func(*http.Request, site.Receiver, order) (map[string]any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		id := h.current()
		if id == "" {
			panic(http.ErrAbortHandler) // no minion: the connection ends without an answer
		}
		if want := r.Header.Get(expectInstanceHeader); want != "" && want != string(id) {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		body, err := carry(r, site.Receiver{MinionAddress: site.MinionAddress{ID: id}, Token: o.Token, Epoch: h.epochOf(o.Token)}, o)
		var refused *site.RefusedError
		switch {
		case errors.As(err, &refused):
			reply(w, http.StatusConflict, map[string]any{"clock_ms": h.all.Clock(id), "reason": refused.Reason})
		case err != nil:
			panic(http.ErrAbortHandler)
		default:
			if body["clock_ms"] == nil {
				body["clock_ms"] = h.all.Clock(id)
			}
			reply(w, http.StatusOK, body)
		}
	}
}

package control

import (
	"context"
	"encoding/json"
	"time"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

// answerRetryDelay is the delay after an answer could not be stored.
const answerRetryDelay = 500 * time.Millisecond

// resultWithoutRun returns the result of a task that is ended while it waits: refused if it
// certainly did not run, unknown if an earlier attempt may have run.
func (c *Control) resultWithoutRun(t *task, r model.Reason, detail string) model.Result {
	st := model.StateRefused
	if t.row.Started {
		st = model.StateUnknown
	}
	return model.Result{State: st, Reason: r, Detail: detail}
}

// endTask ends a task. It stores the answer, then the final row, and then records the end.
func (c *Control) endTask(t *task, res model.Result, out *model.TaskOutput) {
	res.Job, res.Attempts = t.job, t.row.Attempt
	if out != nil {
		res.Minion, res.ContentType = model.VM(out.Worker), "application/json"
	}
	c.coord.tasks.setPhase(t, phaseEnding)
	if out == nil {
		c.writeEndedRow(t, res)
		return
	}
	body, err := json.Marshal(out)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	whole := res
	whole.Body = body
	data, err := json.Marshal(model.TaskAnswer{Team: t.row.Request.Team, Queue: t.row.Request.Queue, Result: whole})
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	c.storeAnswer(t, res, data)
}

// storeAnswer stores the answer. It retries while the store is down; meanwhile the worker and
// this entry VM keep the result.
func (c *Control) storeAnswer(t *task, res model.Result, data []byte) {
	coord := c.coord
	c.runAsync(taskLease, func(ctx context.Context) func() {
		err := platform.PutAndVerify(ctx, c.deps.Objects, platform.PriorityAllotment, model.TaskAnswerName(t.job), data)
		if err != nil && !isConflict(err) {
			sleep(ctx, answerRetryDelay)
		}
		return func() {
			if c.coord != coord {
				return
			}
			if err != nil && !isConflict(err) {
				taskOps.Add("answer_retry", 1)
				c.storeAnswer(t, res, data)
				return
			}
			// A conflict means that an earlier coordinator has stored an answer of the same
			// run.
			c.writeEndedRow(t, res)
		}
	})
}

// writeEndedRow writes the final row of a task. Once it is stored, it records the end and
// answers the pending cancel calls.
func (c *Control) writeEndedRow(t *task, res model.Result) {
	ts := &c.coord.tasks
	t.row.State, t.row.Result, t.row.Ended = model.TaskEnded, &res, time.Now()
	t.row.Checkpoint = nil
	c.writeTask(t, false, func() {
		t.endedAt = time.Now()
		ts.setPhase(t, phaseEnded)
		ts.ended = append(ts.ended, t)
		c.recordTaskStep(t, res.State, res.Reason, res.Detail)
		for _, ch := range t.cancelReplies {
			ch <- taskReply{reply: c.taskReplyOf(t)}
		}
		t.cancelReplies = nil
	})
}

// taskReplyOf returns the state of a task as a reply.
func (c *Control) taskReplyOf(t *task) *peer.JobGetReply {
	r := &peer.JobGetReply{Found: true, Result: TaskResult(t.row),
		Steps: []model.Record{{Job: t.job, Queue: t.row.Request.Queue, Team: t.row.Request.Team}}}
	return r
}

// TaskResult returns the result or the present state of the task in a row, without the
// answer's body.
func TaskResult(row model.TaskRow) model.Result {
	res := model.Result{Job: row.Request.Job, Attempts: row.Attempt}
	switch {
	case row.State == model.TaskEnded && row.Result != nil:
		return *row.Result
	case row.State == model.TaskPlaced:
		res.State, res.Reason, res.Minion = model.StateDispatched, model.ReasonPlaced, model.VM(row.Worker)
	default:
		res.State, res.Reason = model.StateQueued, model.ReasonTaskStored
	}
	return res
}

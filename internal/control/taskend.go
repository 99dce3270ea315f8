package control

import (
	"context"
	"encoding/json"
	"time"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

// answerRetryDelay is the wait after an answer could not be stored.
const answerRetryDelay = 500 * time.Millisecond

// resultWithoutRun returns the end of a task that is given up while it waits: it certainly
// did not run, unless an earlier attempt may have.
func (c *Control) resultWithoutRun(t *task, r model.Reason, detail string) model.Result {
	st := model.StateRefused
	if t.row.Started {
		st = model.StateUnknown
	}
	return model.Result{State: st, Reason: r, Detail: detail}
}

// endTask ends a task: first the answer is stored, then the row, then the end is recorded.
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

// storeAnswer stores the answer, again and again while the store is down: the worker and
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
			// A conflict means that an earlier coordinator stored an answer of the same run.
			c.writeEndedRow(t, res)
		}
	})
}

// writeEndedRow writes the last row of a task and then tells everybody.
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

// taskReplyOf answers a question about a task.
func (c *Control) taskReplyOf(t *task) *peer.JobGetReply {
	r := &peer.JobGetReply{Found: true, Result: TaskResult(t.row),
		Steps: []model.Record{{Job: t.job, Queue: t.row.Request.Queue, Team: t.row.Request.Team}}}
	return r
}

// TaskResult returns what a row says about its task, without the answer.
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

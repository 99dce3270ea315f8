package daemon

import (
	"context"

	"github.com/pkg/errors"

	"boragepulley/internal/account"
	"boragepulley/internal/dispatch"
	"boragepulley/internal/peer"
)

// maxPullBytes bounds the records of one PullRecords reply, well below peer.MaxMessage
// after base64.
const maxPullBytes = 8 << 20

// inbox answers the messages of peers: control messages go to the control side, the
// others to dispatch and account.
type inbox struct {
	peer.ControlHandler
	self   peer.Sender
	jobs   *dispatch.Service
	ledger *account.Ledger
	holder *account.ReplicaStore
}

var _ peer.Handler = (*inbox)(nil)

func (b *inbox) Forward(ctx context.Context, m *peer.Forward) (*peer.ForwardReply, error) {
	r := b.jobs.HandleForward(ctx, *m)
	return &r, nil
}

func (b *inbox) JobGet(ctx context.Context, m *peer.JobGet) (*peer.JobGetReply, error) {
	r, err := b.jobs.Find(ctx, m.Job, m.Answer)
	if err != nil {
		return nil, err
	}
	return &r, nil
}

func (b *inbox) JobCancel(_ context.Context, m *peer.JobCancel) (*peer.JobGetReply, error) {
	res, err := b.jobs.Cancel(m.Job, m.Team)
	switch {
	case errors.Is(err, dispatch.ErrNoSuchJob):
		return &peer.JobGetReply{}, nil
	case errors.Is(err, dispatch.ErrNotOwner):
		return &peer.JobGetReply{Found: true, Denied: true}, nil
	case errors.Is(err, dispatch.ErrCoordinatorUnreachable):
		return nil, err
	}
	return &peer.JobGetReply{Found: true, Result: res}, nil
}

func (b *inbox) HoldRecords(_ context.Context, m *peer.HoldRecords) (*peer.HoldRecordsReply, error) {
	return &peer.HoldRecordsReply{From: b.self}, b.holder.Hold(m.Batch, m.Payload)
}

func (b *inbox) DropRecords(_ context.Context, m *peer.DropRecords) (*peer.Empty, error) {
	b.holder.Drop(m.From.Incarnation, m.Batch)
	return &peer.Empty{}, nil
}

func (b *inbox) PullRecords(_ context.Context, _ *peer.PullRecords) (*peer.PullRecordsReply, error) {
	r := &peer.PullRecordsReply{From: b.self, Complete: true}
	size := 0
	for _, batch := range b.ledger.Unstored() {
		data, err := batch.Encode()
		if err != nil {
			return nil, err
		}
		if size += len(data); size > maxPullBytes {
			r.Complete = false
			break
		}
		r.Batches = append(r.Batches, data)
	}
	return r, nil
}

package account

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/model"
)

// maxBatchBytes is the maximum decoded size of one batch, so that a corrupted object
// cannot exhaust memory.
const maxBatchBytes = 64 << 20

// ErrMalformed means that bytes are not an encoded batch.
var ErrMalformed = errors.New("account: malformed batch")

// Owner identifies the process whose facts a batch holds.
type Owner struct {
	Entry       model.EntryVM     `json:"entry"`
	DC          model.DataCentre  `json:"dc"`
	Incarnation model.Incarnation `json:"incarnation"`
}

// Batch is a contiguous part of an owner's facts, with the sequence numbers First to Last.
// A batch without records and events only extends the covered time.
type Batch struct {
	Owner
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
	// CoversUntil is the time, by the owner's clock, up to which this and all earlier
	// batches contain every fact.
	CoversUntil time.Time          `json:"covers_until"`
	Records     []model.Record     `json:"records,omitempty"`
	Events      []model.FleetEvent `json:"events,omitempty"`
}

// ObjectName returns the name under which the batch is stored.
func (b Batch) ObjectName() string {
	return fmt.Sprintf("%s%s/%s/%012d-%012d", objectPrefix, b.Entry, b.Incarnation, b.First, b.Last)
}

// FactCount returns the number of records and events.
func (b Batch) FactCount() int { return len(b.Records) + len(b.Events) }

const (
	objectPrefix         = "account/"
	coveragePrefix       = "account-coverage/"
	incarnationRowPrefix = "incarnation/"
)

// Encode returns the batch as compressed JSON.
func (b Batch) Encode() ([]byte, error) { return encode(b) }

// DecodeBatch is the inverse of Encode. It returns ErrMalformed for invalid data.
func DecodeBatch(data []byte) (Batch, error) {
	var b Batch
	if err := decode(data, &b); err != nil {
		return Batch{}, err
	}
	if b.Entry == "" || b.Incarnation == "" || b.Last < b.First {
		return Batch{}, errors.Wrapf(ErrMalformed, "owner %q/%q, sequence %d-%d", b.Entry, b.Incarnation, b.First, b.Last)
	}
	return b, nil
}

// join returns b with the facts of n appended. Both must belong to the same owner, and n
// must directly follow b.
func (b Batch) join(n Batch) Batch {
	b.Last = n.Last
	b.CoversUntil = n.CoversUntil
	b.Records = append(b.Records[:len(b.Records):len(b.Records)], n.Records...)
	b.Events = append(b.Events[:len(b.Events):len(b.Events)], n.Events...)
	return b
}

func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	z := gzip.NewWriter(&buf)
	if err := json.NewEncoder(z).Encode(v); err != nil {
		return nil, errors.Wrap(err, "account: encode")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "account: compress")
	}
	return buf.Bytes(), nil
}

func decode(data []byte, v any) error {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	raw, err := io.ReadAll(io.LimitReader(z, maxBatchBytes+1))
	if err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	if len(raw) > maxBatchBytes {
		return errors.Wrap(ErrMalformed, "batch too large")
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

package jobs

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// ErrTooLarge means that the row of a job exceeds what the store takes.
var ErrTooLarge = errors.New("jobs: job too large to be stored")

// DefaultRowBytes is the largest value of a row that the store takes, if the settings do not say.
const DefaultRowBytes = 64 << 10

// maxAcceptedBytes bounds the JSON form of a row.
const maxAcceptedBytes = 4 << 20

// EncodeAccepted returns the row of an accepted job, of at most limit bytes. It is JSON, compressed
// with gzip if that would take more than three quarters of the limit: whether the store's bound counts
// before or after base64 is not specified. Error: ErrTooLarge.
func EncodeAccepted(a Accepted, limit int) ([]byte, error) {
	plain, err := json.Marshal(a)
	if err != nil {
		return nil, errors.Wrap(err, "jobs")
	}
	if len(plain) <= limit/4*3 {
		return plain, nil
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Wrap(err, "jobs")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "jobs")
	}
	if out.Len() > limit || len(plain) > maxAcceptedBytes {
		return nil, errors.Wrapf(ErrTooLarge, "found %d bytes, %d compressed, expected at most %d", len(plain), out.Len(), limit)
	}
	return out.Bytes(), nil
}

// maxWithdrawalBytes bounds the row of a withdrawal, so that rows of jobs need not be decoded to tell them apart.
const maxWithdrawalBytes = 256

// IsWithdrawal reports whether the row of a job is a withdrawal.
func IsWithdrawal(value []byte) bool {
	if len(value) > maxWithdrawalBytes {
		return false
	}
	a, err := DecodeAccepted(value)
	return err == nil && a.Withdrawn
}

// DecodeAccepted decodes the row of an accepted job, but for its id. Error: ErrRecord.
func DecodeAccepted(value []byte) (Accepted, error) {
	var a Accepted
	if bytes.HasPrefix(value, []byte{0x1f, 0x8b}) {
		r, err := gzip.NewReader(bytes.NewReader(value))
		if err != nil {
			return a, errors.Wrap(ErrRecord, err.Error())
		}
		if value, err = io.ReadAll(io.LimitReader(r, maxAcceptedBytes)); err != nil {
			return a, errors.Wrap(ErrRecord, err.Error())
		}
	}
	if err := json.Unmarshal(value, &a); err != nil {
		return a, errors.Wrap(ErrRecord, err.Error())
	}
	return a, nil
}

package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// Digest returns the SHA-256 of a set of files in hex. It depends on the names and texts
// only, not on the order of the files.
func Digest(files []File) string {
	h := sha256.New()
	for _, f := range sortedFiles(files) {
		// Lengths keep the boundary between name and text unambiguous.
		fmt.Fprintf(h, "%d:%s%d:%s", len(f.Name), f.Name, len(f.Text), f.Text)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Encode returns the bytes of a document as they are stored.
func (d *Document) Encode() ([]byte, error) {
	b, err := json.Marshal(d)
	return b, errors.Wrap(err, "config: encode document")
}

// DecodeDocument reads a stored document and verifies the digest of its files.
func DecodeDocument(data []byte) (*Document, error) {
	var d Document
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, errors.Wrap(err, "config: decode document")
	}
	if got := Digest(d.Files); got != d.Digest {
		return nil, errors.Errorf("config: document version %d: files have digest %s, want %s", d.Version, got, d.Digest)
	}
	return &d, nil
}

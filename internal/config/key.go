package config

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
)

// secretBytes is the size of a generated secret: 256 random bits, so that a fast hash is
// sufficient to store it.
const secretBytes = 32

// ErrBadKey means that a text is not "<key id>.<secret>".
var ErrBadKey = errors.New(`config: key: want "<key id>.<secret>"`)

// NewSecret returns a new random secret in its text form.
func NewSecret() string {
	b := make([]byte, secretBytes)
	// crypto/rand.Read never returns an error; it ends the process if the system has no
	// random source.
	_, _ = rand.Read(b)
	return base64.RawURLEncoding.EncodeToString(b)
}

// KeyHash returns the SHA-256 of a secret's text form, as files hold it.
func KeyHash(secret string) [sha256.Size]byte { return sha256.Sum256([]byte(secret)) }

// KeyText returns the text form of a key, which callers present.
func KeyText(id, secret string) string { return id + "." + secret }

// SplitKey splits the text form of a key. Error: ErrBadKey, which does not repeat the text.
func SplitKey(text string) (id, secret string, err error) {
	id, secret, ok := strings.Cut(text, ".")
	if !ok || secret == "" || !nameForm.MatchString(id) {
		return "", "", ErrBadKey
	}
	return id, secret, nil
}

// Matches reports in constant time whether the secret belongs to the key.
func (k *Key) Matches(secret string) bool {
	h := KeyHash(secret)
	return subtle.ConstantTimeCompare(h[:], k.SHA256[:]) == 1
}

func decodeHash(text string) (h [sha256.Size]byte, err error) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(h) {
		return h, errors.New("config: hash: want 64 hex digits")
	}
	return [sha256.Size]byte(b), nil
}

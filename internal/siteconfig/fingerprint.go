package siteconfig

import (
	"crypto/sha256"
	"encoding/hex"
)

// Fingerprint identifies a key in output that others can read, without revealing it.
func Fingerprint(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:6])
}

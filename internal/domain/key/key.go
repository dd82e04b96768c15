// Package key holds the keys that teams and operators present.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"strings"

	"github.com/cockroachdb/errors"
)

// secretBytes is the entropy of a secret.
const secretBytes = 32

// ErrMalformed is returned for a key that is not of the form ID.SECRET.
var ErrMalformed = errors.New("a key has the form ID.SECRET")

// Key is what the ledger holds of a key: never its secret.
type Key struct {
	ID string
	// Team is empty for an operator's key.
	Team     string
	Operator bool
	// Digest is the SHA-256 of the secret.
	Digest    [sha256.Size]byte
	Withdrawn bool
}

// WithWithdrawn returns the key marked as withdrawn.
func (k Key) WithWithdrawn() Key { k.Withdrawn = true; return k }

// Matches compares the digest of a presented secret in constant time.
func (k Key) Matches(digest []byte) bool {
	return subtle.ConstantTimeCompare(k.Digest[:], digest) == 1
}

// NewSecret returns a fresh secret in printable form.
func NewSecret() string {
	b := make([]byte, secretBytes)
	_, _ = rand.Read(b) // never fails: crypto/rand ends the process instead
	return base64.RawURLEncoding.EncodeToString(b)
}

// Digest returns the SHA-256 of a secret.
func Digest(secret string) [sha256.Size]byte { return sha256.Sum256([]byte(secret)) }

// Parse splits a presented key into its id and its secret.
func Parse(text string) (id, secret string, err error) {
	id, secret, ok := strings.Cut(text, ".")
	if !ok || id == "" || secret == "" {
		return "", "", ErrMalformed
	}
	return id, secret, nil
}

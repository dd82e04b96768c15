// Package key defines the API keys with which teams and operators authenticate.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"strings"

	"github.com/cockroachdb/errors"
)

// secretBytes is the length of a secret in random bytes.
const secretBytes = 32

// ErrMalformed is returned for a key that is not of the form ID.SECRET.
var ErrMalformed = errors.New("malformed key: the form is ID.SECRET")

// Key is the ledger's record of a key. It holds a digest instead of the secret.
type Key struct {
	ID string
	// Team is empty for the key of an operator.
	Team     string
	Operator bool
	// Digest is the SHA-256 of the secret.
	Digest    [sha256.Size]byte
	Withdrawn bool
}

// WithWithdrawn returns a copy of the key that is marked as withdrawn.
func (k Key) WithWithdrawn() Key { k.Withdrawn = true; return k }

// Matches reports whether digest equals the digest of the key's secret. It takes
// constant time, so that timing reveals nothing about the digest.
func (k Key) Matches(digest []byte) bool {
	return subtle.ConstantTimeCompare(k.Digest[:], digest) == 1
}

// NewSecret returns a new random secret, encoded as unpadded base64url.
func NewSecret() string {
	b := make([]byte, secretBytes)
	_, _ = rand.Read(b) // crypto/rand crashes the process instead of returning an error
	return base64.RawURLEncoding.EncodeToString(b)
}

// Digest returns the SHA-256 of a secret.
func Digest(secret string) [sha256.Size]byte { return sha256.Sum256([]byte(secret)) }

// Parse splits a key of the form ID.SECRET into its id and its secret.
func Parse(text string) (id, secret string, err error) {
	id, secret, ok := strings.Cut(text, ".")
	if !ok || id == "" || secret == "" {
		return "", "", ErrMalformed
	}
	return id, secret, nil
}

package control

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/key"
)

const (
	// replyMargin is subtracted from the caller's deadline, so that the reply still
	// reaches the caller in time.
	replyMargin = 20 * time.Millisecond
	// A refused caller is asked to retry after minRetryHint plus a random part of
	// retryHintJitter.
	minRetryHint    = 100 * time.Millisecond
	retryHintJitter = 300 * time.Millisecond
	// maxTokenBytes limits the length of the key in the Authorization header.
	maxTokenBytes = 512
)

// Sender sends an item to the leader and returns the reply. Client implements it.
type Sender interface {
	Send(ctx context.Context, item *inner.Item) (*inner.Reply, error)
}

// Exchange sends the item and waits for the reply until the caller's deadline, and
// for timeout at most. Exactly one result is set: the leader's reply, or the status
// that explains why there is none.
func Exchange(ctx context.Context, sender Sender, item *inner.Item, timeout time.Duration) (*inner.Reply, *v1.Status) {
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)-replyMargin)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := sender.Send(ctx, item)
	if err != nil {
		return nil, StatusFromError(err)
	}
	if refusal := reply.GetStatus(); refusal.GetCode() != 0 {
		return nil, refusal
	}
	return reply, nil
}

// StatusFromError converts an error to a status. Codes after which a retry can succeed
// get a retry hint.
func StatusFromError(err error) *v1.Status {
	var codeErr *code.Error
	if !errors.As(err, &codeErr) {
		codeErr = code.New(code.Internal, "%v", err)
	}
	s := &v1.Status{Code: uint32(codeErr.Code), Text: codeErr.Error()}
	switch codeErr.Code {
	case code.ControlUnreachable, code.Overloaded, code.LeaderTimeout, code.NoLeader:
		s.Retry = uint64((minRetryHint + rand.N(retryHintJitter)).Milliseconds())
	case code.ShuttingDown:
		s.Retry = 1
	}
	return s
}

// NewStatus returns a status with the code and a formatted detail.
func NewStatus(resultCode code.Code, format string, args ...any) *v1.Status {
	return StatusFromError(code.New(resultCode, format, args...))
}

// StatusForNonSubmit converts a refusal by the entry for calls other than a first
// submission. Codes of the class "not run" state that the job did not run. After
// such a call this is unknown: only the call failed to reach the leader, and the job
// may be running.
func StatusForNonSubmit(s *v1.Status) *v1.Status {
	switch code.Code(s.GetCode()) {
	case code.ControlUnreachable:
		return &v1.Status{Code: uint32(code.NoLeader), Text: s.GetText(), Retry: s.GetRetry()}
	case code.Overloaded:
		return &v1.Status{Code: uint32(code.LeaderTimeout), Text: s.GetText(), Retry: s.GetRetry()}
	}
	return s
}

// BearerToken returns the bearer token of the Authorization header. It returns an empty
// string if there is none or if it exceeds maxTokenBytes.
func BearerToken(h http.Header) string {
	scheme, token, ok := strings.Cut(h.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || len(token) > maxTokenBytes {
		return ""
	}
	return strings.TrimSpace(token)
}

// CredentialFromHeader returns the credential of the key in the Authorization header.
// The credential holds the digest of the secret. The secret is not sent to the leader.
func CredentialFromHeader(h http.Header) (*inner.Credential, error) {
	id, secret, err := key.Parse(BearerToken(h))
	if err != nil {
		return nil, code.New(code.InvalidKey, "%v", err)
	}
	digest := key.Digest(secret)
	return &inner.Credential{Id: id, Digest: digest[:]}, nil
}

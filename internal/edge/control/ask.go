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
	// returnMargin is kept back from a caller's deadline for the way of the answer.
	returnMargin = 20 * time.Millisecond
	// retryLeast and retrySpread place the hint at which a refused caller may come back.
	retryLeast  = 100 * time.Millisecond
	retrySpread = 300 * time.Millisecond
	// maxPresented bounds the length of a presented key.
	maxPresented = 512
)

// Sender carries an item to the leader; *Pool is one.
type Sender interface {
	Send(ctx context.Context, item *inner.Item) (*inner.Reply, error)
}

// Exchange asks within the caller's deadline and the bound, and returns either
// the leader's answer or the status that stands in its place.
func Exchange(ctx context.Context, a Sender, item *inner.Item, bound time.Duration) (*inner.Reply, *v1.Status) {
	if until, ok := ctx.Deadline(); ok {
		bound = min(bound, time.Until(until)-returnMargin)
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	reply, err := a.Send(ctx, item)
	if err != nil {
		return nil, StatusFromError(err)
	}
	if s := reply.GetStatus(); s.GetCode() != 0 {
		return nil, s
	}
	return reply, nil
}

// StatusFromError returns the status for an error, with a retry hint where coming back helps.
func StatusFromError(err error) *v1.Status {
	var numbered *code.Error
	if !errors.As(err, &numbered) {
		numbered = code.New(code.Internal, "%v", err)
	}
	s := &v1.Status{Code: uint32(numbered.Code), Text: numbered.Error()}
	switch numbered.Code {
	case code.ControlUnreachable, code.Overloaded, code.LeaderTimeout, code.NoLeader:
		s.Retry = uint64((retryLeast + rand.N(retrySpread)).Milliseconds())
	case code.ShuttingDown:
		s.Retry = 1
	}
	return s
}

// NewStatus returns a status made of the code and a formatted detail.
func NewStatus(c code.Code, format string, args ...any) *v1.Status {
	return StatusFromError(code.New(c, format, args...))
}

// StatusForNonSubmit rewrites a refusal by the entry for calls that are not a first
// submission. Codes of the class "not run" speak about a job; here only the
// call itself did not get through, and the job may well run.
func StatusForNonSubmit(s *v1.Status) *v1.Status {
	switch code.Code(s.GetCode()) {
	case code.ControlUnreachable:
		return &v1.Status{Code: uint32(code.NoLeader), Text: s.GetText(), Retry: s.GetRetry()}
	case code.Overloaded:
		return &v1.Status{Code: uint32(code.LeaderTimeout), Text: s.GetText(), Retry: s.GetRetry()}
	}
	return s
}

// BearerToken returns the token of the Authorization header, empty when there is none.
func BearerToken(h http.Header) string {
	scheme, token, ok := strings.Cut(h.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || len(token) > maxPresented {
		return ""
	}
	return strings.TrimSpace(token)
}

// CredentialFromHeader returns the credential of the key in the Authorization header. The
// secret goes no further than this: the leader gets its digest.
func CredentialFromHeader(h http.Header) (*inner.Credential, error) {
	id, secret, err := key.Parse(BearerToken(h))
	if err != nil {
		return nil, code.New(code.InvalidKey, "%v", err)
	}
	digest := key.Digest(secret)
	return &inner.Credential{Id: id, Digest: digest[:]}, nil
}

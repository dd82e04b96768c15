package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// ageJitter is the largest fraction by which the lifetime of a connection is
// shortened at random, so that connections opened together do not close together.
const ageJitter = 0.2

// connExpiryKey is the context key of the time at which a connection expires.
type connExpiryKey struct{}

// withConnExpiry returns the context of a new connection with its expiry time.
func (e *Entry) withConnExpiry(ctx context.Context, _ net.Conn) context.Context {
	lifetime := time.Duration(float64(e.MaxConnectionAge) * (1 - ageJitter*rand.Float64()))
	return context.WithValue(ctx, connExpiryKey{}, time.Now().Add(lifetime))
}

// closeExpiredConns asks the client to close a connection that has reached its
// maximum age. It does so in the response to a call, so that no call is interrupted.
// Without a maximum age, a newly added entry would get no load, and an entry that is
// about to be removed would keep its load.
func closeExpiredConns(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if expiresAt, ok := r.Context().Value(connExpiryKey{}).(time.Time); ok && time.Now().After(expiresAt) {
			// For HTTP/2 net/http sends GOAWAY instead of this header.
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// ageJitter is the part by which the ages of connections differ, so that those
// that were opened together do not end together.
const ageJitter = 0.2

// connExpiryKey finds the end of a connection's life in the context of its requests.
type connExpiryKey struct{}

// withConnExpiry notes when a new connection is to end.
func (e *Entry) withConnExpiry(ctx context.Context, _ net.Conn) context.Context {
	lifetime := time.Duration(float64(e.MaxConnectionAge) * (1 - ageJitter*rand.Float64()))
	return context.WithValue(ctx, connExpiryKey{}, time.Now().Add(lifetime))
}

// closeExpiredConns asks clients to leave a connection that has reached its age, with the
// answer to a request: no request is cut off. Connections that live for ever
// would keep an entry that came later without work, and one that goes busy.
func closeExpiredConns(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if expiresAt, ok := r.Context().Value(connExpiryKey{}).(time.Time); ok && time.Now().After(expiresAt) {
			// Over HTTP/2 net/http turns this into GOAWAY.
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// ageSpread is the part by which the ages of connections differ, so that those
// that were opened together do not end together.
const ageSpread = 0.2

// expiryKey finds the end of a connection's life in the context of its requests.
type expiryKey struct{}

// born notes when a new connection is to end.
func (e *Entry) born(ctx context.Context, _ net.Conn) context.Context {
	life := time.Duration(float64(e.MaxConnectionAge) * (1 - ageSpread*rand.Float64()))
	return context.WithValue(ctx, expiryKey{}, time.Now().Add(life))
}

// aged asks clients to leave a connection that has reached its age, with the
// answer to a request: no request is cut off. Connections that live for ever
// would keep an entry that came later without work, and one that goes busy.
func aged(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if end, ok := r.Context().Value(expiryKey{}).(time.Time); ok && time.Now().After(end) {
			// Over HTTP/2 net/http turns this into GOAWAY.
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

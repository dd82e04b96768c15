package peer_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/replica/peer"
)

// Guards against messages that overtake each other when the server handles the later
// of two concurrent calls first. The follower would refuse entries that leave a gap
// in its log, and the leader would have to probe again. A lost call may delay its
// successor only briefly, and a new connection starts a new sequence.
func TestCallsAreHandledInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var delivered []string
		p := &peer.Transport{Cell: "cell", Self: "b/1", Deliver: func(_ string, data []byte) { delivered = append(delivered, string(data)) }}
		h := p.Handler()
		call := func(connectionID, number uint64, text string) {
			body, err := proto.Marshal(&inner.DeliverRequest{
				Cell: "cell", From: "a/1", To: "b/1", Wire: connectionID, Number: number,
				Envelopes: []*inner.Envelope{{Data: []byte(text)}},
			})
			if err != nil {
				t.Error(err)
			}
			r := httptest.NewRequest(http.MethodPost, "/twirp/gypsumreel.inner.Replica/Deliver", bytes.NewReader(body))
			r.Header.Set("Content-Type", "application/protobuf")
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			if w.Code != http.StatusOK {
				t.Errorf("call %q: status %d, body %s", text, w.Code, w.Body)
			}
		}
		startedAt := time.Now()
		call(7, 1, "one")
		go call(7, 3, "three")
		synctest.Wait()
		call(7, 2, "two")
		synctest.Wait()
		if time.Since(startedAt) > 0 {
			t.Error("a call waited although its predecessor had been handled")
		}
		call(7, 5, "five, four is lost")
		if waited := time.Since(startedAt); waited == 0 || waited > 100*time.Millisecond {
			t.Errorf("the loss of a call delayed its successor by %v, want more than 0 and at most 100 ms", waited)
		}
		call(8, 1, "a new connection")
		call(7, 6, "a late call of the old one")
		want := []string{"one", "two", "three", "five, four is lost", "a new connection", "a late call of the old one"}
		if diff := cmp.Diff(want, delivered); diff != "" {
			t.Error(diff)
		}
	})
}

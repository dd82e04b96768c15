package state_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/ledger/state"
)

// The size of a large state: flows, servers for them, and servers for jobs.
const largeFlows, largeServers, largeJobServers = 5000, 1000, 5000

// newLargeState returns a large state and its snapshot.
func newLargeState(t *testing.T) (*state.State, []byte) {
	t.Helper()
	pair := newReplicaPair()
	apply := func(f *record.Flow) {
		if r := pair.apply(&record.Command{What: &record.Command_Flow{Flow: f}}); r.Code != code.OK {
			t.Fatal(r)
		}
	}
	apply(&record.Flow{What: &record.Flow_Document{Document: &v1.Document{
		Version: 1, Pools: []*v1.Pool{{Name: "p"}}, Customers: []*v1.Customer{{Name: "c"}},
		Queues: []*v1.Queue{{Name: "q", Host: "h", Path: "/", Pool: "p", Attempts: 1, Timeout: 1}},
	}}})
	for i := range largeJobServers {
		pair.announce(fmt.Sprintf("j%05d", i), 1, 16)
	}
	for i := range largeServers {
		id := fmt.Sprintf("s%05d", i)
		apply(&record.Flow{What: &record.Flow_Server{Server: &record.FlowServer{Id: id, Born: 1, Zone: "x", Pool: "p", Labels: []string{strings.Repeat("l", 8<<10)}, Capacity: &v1.Size{Cpu: 16}}}})
	}
	for i := range largeFlows {
		spec := &v1.FlowSpec{Id: fmt.Sprintf("f%05d", i), Steps: []*v1.FlowStep{{Count: 2, Size: &v1.Size{Cpu: 1, Memory: 1}}}}
		apply(&record.Flow{What: &record.Flow_Accept{Accept: &record.FlowAccept{Queue: "q", Customer: "c", Spec: spec}}})
	}
	data, err := pair.first.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return pair.first, data
}

// Guards against a slow leader that loses the lead: as a snapshot begins all flows are copied at
// once, and nothing in it counted as progress.
func TestBeginOfALargeSnapshotYields(t *testing.T) {
	s, _ := newLargeState(t)
	yields := 0
	s.BeginSnapshotYielding(func() { yields++ }).Cancel()
	if want := (largeFlows + largeServers) / 256; yields < want {
		t.Errorf("the begin of a snapshot of %d flows and %d servers yielded %d times, want at least %d", largeFlows, largeServers, yields, want)
	}
}

// Guards against a slow replica that is taken for one whose control thread stands: it decodes a
// snapshot, most of which is one record of all flows. Decoded in pieces, it must be the same state.
func TestDecodingOfALargeSnapshotYields(t *testing.T) {
	s, data := newLargeState(t)
	yields := 0
	decoded, err := state.DecodeYielding(data, func() { yields++ })
	if err != nil {
		t.Fatal(err)
	}
	if want := len(data)/(256<<10) + (largeFlows+largeServers+largeJobServers)/256; yields < want {
		t.Errorf("decoding of %d flows and %d servers in %d bytes yielded %d times, want at least %d", largeFlows, largeServers+largeJobServers, len(data), yields, want)
	}
	if again, err := decoded.Encode(); err != nil || !bytes.Equal(again, data) || decoded.Digest() != s.Digest() {
		t.Errorf("the decoded state differs from the one that was encoded: error %v", err)
	}
}

// Guards against a part of a snapshot that is taken for a whole one, wherever it is cut off.
func TestSnapshotThatIsCutOffIsNotDecoded(t *testing.T) {
	_, data := newLargeState(t)
	for n := 1; n < len(data); n += len(data)/200 + 1 {
		if _, err := state.Decode(data[:n]); !errors.Is(err, state.ErrSnapshot) {
			t.Errorf("%d of %d bytes: got error %v, want %v", n, len(data), err, state.ErrSnapshot)
		}
	}
}

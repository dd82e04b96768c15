package leader_test

import (
	"testing"

	"gypsumreel/internal/api/record"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/ledger/state"
)

// Guards against the end of the process by a command that cannot be stored: the next leader would get
// the same request.
func TestCommandThatCannotBeEncodedIsRefused(t *testing.T) {
	runWithLeader(t, func(h *harness) {
		h.withLedger(func(ledger *state.State) {
			before := ledger.Digest()
			for _, id := range []string{"i-7f\xff\xfe", "i-1"} {
				err := h.leader.ApplyCommand(&record.Flow{What: &record.Flow_Server{Server: &record.FlowServer{Id: id, Born: 1, Pool: "p"}}})
				_, isKnown := ledger.Flows().Server(id)
				switch isText := id == "i-1"; {
				case isText && (err != nil || !isKnown):
					t.Errorf("the report of a sound server: %v, known: %v", err, isKnown)
				case !isText && (err == nil || err.Code != code.Malformed || isKnown || ledger.Digest() != before):
					t.Errorf("the report of server %q: %v, known: %v, want a refusal that changes nothing", id, err, isKnown)
				}
			}
		})
	})
}

package flow

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/files"
	"gypsumreel/internal/cli/verb"
	"gypsumreel/internal/edge/wire"
)

// answer is the answer of a control replica to any call.
type answer interface {
	GetCode() uint32
	GetDetail() string
	// GetLeader returns the address of the leader if the replica does not lead.
	GetLeader() string
}

// callLeader calls the replicas in turn, each followed by the leader that it names, until the
// leader answers or ctx is cancelled. The call must be safe to repeat. A result code other than
// OK becomes an Error.
func callLeader[A answer](ctx context.Context, f controlFlags, call func(ctx context.Context, replica inner.Flows) (A, error)) (A, error) {
	client := wire.NewClient(connectionsPerReplica, nil, files.Processes)
	addresses := strings.Split(f.Control, ",")
	var none A
	failure := verb.CodeError(code.LeaderTimeout, "")
	outdated := map[string]bool{} // addresses of replicas that do not have the call
	for attempt := 0; ctx.Err() == nil; attempt++ {
		address := addresses[attempt%len(addresses)]
		for _, named := range []bool{false, true} { // the replica, then the leader that it names
			result, err := call(ctx, inner.NewFlowsProtobufClient("http://"+address, client))
			if isUnknownCall(err) {
				outdated[address] = true
				if named || len(outdated) == len(addresses) {
					return none, outdatedError(address)
				}
				break // another replica may lead
			}
			if err != nil {
				failure = verb.CodeError(code.LeaderTimeout, err.Error())
				break
			}
			resultCode := code.Code(result.GetCode())
			if resultCode == code.OK {
				return result, nil
			}
			failure = verb.CodeError(resultCode, result.GetDetail())
			if resultCode != code.NoLeader {
				return none, failure
			}
			if address = result.GetLeader(); address == "" {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
	return none, failure
}

// isUnknownCall reports whether the replica does not have the call.
func isUnknownCall(err error) bool {
	var twirpError twirp.Error
	return errors.As(err, &twirpError) && twirpError.Code() == twirp.BadRoute
}

// outdatedError returns the failure of a call that the replica at the address does not have.
func outdatedError(address string) *verb.Error {
	return &verb.Error{
		ExitCode: verb.ExitFailed, Message: "the control replica at " + address + " runs an earlier version and does not have this call",
		Advice: "Finish the upgrade of the control replicas, or use the other verbs and the metrics meanwhile.",
	}
}

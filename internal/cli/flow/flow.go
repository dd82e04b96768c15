// Package flow implements the verbs that submit, query and cancel flows, which are jobs
// of several steps. Like an entry, the verbs call the control replicas directly on the
// network inside the cell.
package flow

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/encoding/protojson"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/cli/verb"
	domain "gypsumreel/internal/domain/flow"
)

const (
	// maxFileBytes is the maximum size of a flow's file.
	maxFileBytes = 1 << 20
	// connectionsPerReplica limits the connections to one replica: one for the current
	// call and one for a call that was abandoned.
	connectionsPerReplica = 2
	// retryDelay is the delay between two attempts. An election takes a few of these
	// delays.
	retryDelay = 100 * time.Millisecond
)

// New returns the verbs.
func New() verb.Verb {
	return verb.Verb{
		Name: "flow", Short: "check, submit, query and cancel jobs of several steps",
		Subverbs: []verb.Verb{
			{Name: "check", Short: "check a flow's file", Long: "Validates the flow in FILE (JSON with comments; - for standard input) and prints the first fault. Nothing is sent.", Runner: &checkCommand{}},
			{
				Name: "submit", Short: "submit a flow",
				Long:   "Submits the flow in FILE (JSON with comments; - for standard input). Its id is part of the file. After a lost answer run the same command again: the flow is not created twice.",
				Runner: &submitCommand{},
			},
			{Name: "state", Short: "print the state of a flow", Long: "Prints the state of the flow ID. Exit code 7 while it waits or runs.", Runner: &stateCommand{}},
			{Name: "cancel", Short: "cancel a flow", Long: "Cancels the flow ID: none of its tasks starts any more, and running tasks are stopped.", Runner: &cancelCommand{}},
			{Name: "pending", Short: "count a queue's flows that have not started", Runner: &pendingCommand{}},
			{
				Name: "load", Short: "show who waits, runs and is refused, by customer and queue",
				Long:   "Prints what the leader knows of the cell's load: the cell as a whole, and the customers and queues with most waiting work. Accepted and refused flows are those of the last ten seconds; a new leader counts anew.",
				Runner: &loadCommand{},
			},
		},
	}
}

// controlFlags hold the addresses of the control replicas.
type controlFlags struct {
	verb.OutputFlag
	Control string        `long:"control" env:"GYPSUMREEL_CONTROL" required:"true" description:"addresses of the control replicas, comma-separated: IP:PORT on the network inside the cell"`
	Cell    string        `long:"cell" env:"GYPSUMREEL_CELL" default:"platform" description:"name of the cell"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"maximum wait for an answer, including retries"`
}

// withTimeout returns a context that ends with the timeout of the verb.
func (f controlFlags) withTimeout(ctx context.Context) (context.Context, context.CancelFunc, error) {
	if f.Timeout <= 0 {
		return nil, nil, verb.UsageError("Give a duration such as 10s.", "--timeout %s is not positive", f.Timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	return ctx, cancel, nil
}

// flowFlags also hold the customer's key and the queue.
type flowFlags struct {
	controlFlags
	Key  string `long:"key" env:"GYPSUMREEL_KEY" description:"the customer's key; prefer the environment variable, as the process list shows flags"`
	Host string `long:"host" required:"true" description:"the queue's host"`
	Path string `long:"path" required:"true" description:"the queue's path, up to the flow's id"`
}

// flowResult is the result printed with --json.
type flowResult struct {
	ID      string `json:"id,omitempty"`
	State   string `json:"state,omitempty"`
	Pending uint32 `json:"pending"`
}

// call sends one request to the leader and returns its answer. A result code other than
// OK becomes an Error.
func (f flowFlags) call(ctx context.Context, flowVerb inner.FlowVerb, id string, spec *v1.FlowSpec) (*inner.FlowAnswer, error) {
	ctx, cancel, err := f.withTimeout(ctx)
	if err != nil {
		return nil, err
	}
	defer cancel()
	request := &inner.FlowAsk{Cell: f.Cell, Verb: flowVerb, Host: f.Host, Path: strings.TrimSuffix(f.Path, "/") + "/" + id, Spec: spec}
	if f.Key != "" {
		digest := sha256.Sum256([]byte(f.Key))
		request.Key = digest[:]
	}
	// Every request is safe to repeat: flows have ids, and a repeated cancellation or query
	// changes nothing.
	return callLeader(ctx, f.controlFlags, func(ctx context.Context, replica inner.Flows) (*inner.FlowAnswer, error) {
		return replica.Ask(ctx, request)
	})
}

// printState prints the id and the state of a flow.
func (f flowFlags) printState(env verb.Env, id string, answer *inner.FlowAnswer) error {
	name := strings.ToLower(strings.TrimPrefix(answer.GetState().String(), "FLOW_STATE_"))
	return f.Print(env.Out, flowResult{ID: id, State: name}, verb.TextTable{Header: []string{"FLOW", "STATE"}, Rows: [][]string{{id, name}}})
}

// readSpec reads a flow's file and validates it like the leader does.
func readSpec(env verb.Env, args []string) (*v1.FlowSpec, error) {
	if len(args) != 1 {
		return nil, verb.UsageError("Name one FILE, or - for standard input.", "the verb takes one file, got %d", len(args))
	}
	in := env.In
	if args[0] != "-" {
		file, err := os.Open(args[0])
		if err != nil {
			return nil, verb.UsageError("Check the file's name.", "%v", err)
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	text, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	switch {
	case err != nil:
		return nil, verb.UsageError("Check the file.", "%s: %v", args[0], err)
	case len(text) > maxFileBytes:
		return nil, verb.UsageError("Give a smaller file.", "%s is larger than %d bytes", args[0], maxFileBytes)
	}
	plain, err := hujson.Standardize(text)
	if err != nil {
		return nil, verb.UsageError("The file must be JSON; comments are allowed.", "%s: %v", args[0], err)
	}
	spec := &v1.FlowSpec{}
	if err := protojson.Unmarshal(plain, spec); err != nil {
		return nil, verb.UsageError("The fields are those of FlowSpec in proto/v1/flow.proto.", "%s: %v", args[0], err)
	}
	if fault := domain.CheckSpec(spec); fault != nil {
		return nil, verb.UsageError("Correct the file; nothing was sent.", "%s: %v", args[0], fault)
	}
	return spec, nil
}

func parseID(args []string) (string, error) {
	if len(args) != 1 || args[0] == "" {
		return "", verb.UsageError("Name one flow ID.", "the verb takes one flow id, got %d", len(args))
	}
	return args[0], nil
}

type checkCommand struct{ verb.OutputFlag }

// Run validates a flow's file and prints its number of steps and tasks.
func (c *checkCommand) Run(_ context.Context, env verb.Env, args []string) error {
	spec, err := readSpec(env, args)
	if err != nil {
		return err
	}
	tasks := uint32(0)
	for _, s := range spec.GetSteps() {
		tasks += s.GetCount()
	}
	type checkResult struct {
		ID    string `json:"id"`
		Steps int    `json:"steps"`
		Tasks uint32 `json:"tasks"`
	}
	result := checkResult{spec.GetId(), len(spec.GetSteps()), tasks}
	return c.Print(env.Out, result, verb.TextTable{Header: []string{"FLOW", "STEPS", "TASKS"}, Rows: [][]string{{result.ID, fmt.Sprint(result.Steps), fmt.Sprint(result.Tasks)}}})
}

type submitCommand struct{ flowFlags }

// Run submits the flow in the given file and prints its state.
func (c *submitCommand) Run(ctx context.Context, env verb.Env, args []string) error {
	spec, err := readSpec(env, args)
	if err != nil {
		return err
	}
	answer, err := c.call(ctx, inner.FlowVerb_FLOW_VERB_SUBMIT, spec.GetId(), spec)
	if err != nil {
		return err
	}
	return c.printState(env, spec.GetId(), answer)
}

type stateCommand struct{ flowFlags }

// Run prints the state of the flow named by args. The exit code depends on that state.
func (c *stateCommand) Run(ctx context.Context, env verb.Env, args []string) error {
	id, err := parseID(args)
	if err != nil {
		return err
	}
	answer, err := c.call(ctx, inner.FlowVerb_FLOW_VERB_STATE, id, nil)
	if err != nil {
		return err
	}
	if err := c.printState(env, id, answer); err != nil {
		return err
	}
	switch s := answer.GetState(); {
	case s < v1.FlowState_FLOW_STATE_DONE:
		return &verb.Error{ExitCode: verb.ExitUnfinished}
	case s > v1.FlowState_FLOW_STATE_DONE:
		return &verb.Error{ExitCode: verb.ExitFailed}
	}
	return nil
}

type cancelCommand struct{ flowFlags }

// Run cancels the flow named by args and prints its state.
func (c *cancelCommand) Run(ctx context.Context, env verb.Env, args []string) error {
	id, err := parseID(args)
	if err != nil {
		return err
	}
	answer, err := c.call(ctx, inner.FlowVerb_FLOW_VERB_CANCEL, id, nil)
	if err != nil {
		return err
	}
	return c.printState(env, id, answer)
}

type pendingCommand struct{ flowFlags }

// Run prints the number of the queue's flows that have not started.
func (c *pendingCommand) Run(ctx context.Context, env verb.Env, _ []string) error {
	answer, err := c.call(ctx, inner.FlowVerb_FLOW_VERB_PENDING, "", nil)
	if err != nil {
		return err
	}
	return c.Print(env.Out, flowResult{Pending: answer.GetPending()}, verb.TextTable{Header: []string{"PENDING"}, Rows: [][]string{{fmt.Sprint(answer.GetPending())}}})
}

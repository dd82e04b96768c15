// Package flow holds the verbs that hand in flows, jobs of several steps, and ask
// how they stand. They speak to the control replicas themselves, on the network
// inside the cell, as an entry does.
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
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/base/files"
	"gypsumreel/internal/cli/verb"
	domain "gypsumreel/internal/domain/flow"
	"gypsumreel/internal/edge/wire"
)

const (
	// maxFile bounds a flow's file, in bytes.
	maxFile = 1 << 20
	// connections bounds those to one replica: one call at a time, and one that was given up.
	connections = 2
	// pause is the time between two tries: an election takes a few of them.
	pause = 100 * time.Millisecond
)

// New returns the verbs.
func New() verb.Verb {
	return verb.Verb{
		Name: "flow", Short: "check and hand in jobs of several steps, and ask how they stand",
		Subverbs: []verb.Verb{
			{Name: "check", Short: "check a flow's file", Long: "Reads the flow in FILE (JSON with comments; - for standard input) and tells what is wrong with it. Nothing is sent.", Runner: &check{}},
			{
				Name: "submit", Short: "hand in a flow",
				Long:   "Hands in the flow in FILE (JSON with comments; - for standard input). Its id is part of the file; after a lost answer run the same command again: it remains one flow.",
				Runner: &submit{},
			},
			{Name: "state", Short: "tell how a flow stands", Long: "Tells how the flow ID stands. Exit code 7 while it waits or runs.", Runner: &state{}},
			{Name: "cancel", Short: "cancel a flow", Long: "Cancels the flow ID: nothing of it starts any more, and what runs is stopped.", Runner: &cancel{}},
			{Name: "pending", Short: "count a queue's flows of which nothing has started", Runner: &pending{}},
		},
	}
}

// flags say where the control replicas are, who asks, and at which queue.
type flags struct {
	verb.OutputFlag
	Control string        `long:"control" env:"GYPSUMREEL_CONTROL" required:"true" description:"control replicas, comma-separated: IP:PORT on the network inside the cell"`
	Cell    string        `long:"cell" env:"GYPSUMREEL_CELL" default:"platform" description:"name of the cell"`
	Key     string        `long:"key" env:"GYPSUMREEL_KEY" description:"the customer's key; better given by the environment than seen in the process list"`
	Host    string        `long:"host" required:"true" description:"the queue's host"`
	Path    string        `long:"path" required:"true" description:"the queue's path, up to the flow's id"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"longest wait for an answer, over all tries"`
}

// answer is what is printed.
type answer struct {
	ID      string `json:"id,omitempty"`
	State   string `json:"state,omitempty"`
	Pending uint32 `json:"pending"`
}

// ask carries one request to the leader.
func (f flags) ask(ctx context.Context, v inner.FlowVerb, id string, spec *v1.FlowSpec) (*inner.FlowAnswer, error) {
	if f.Timeout <= 0 {
		return nil, verb.UsageError("Give a duration such as 10s.", "--timeout %s is not positive", f.Timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	a := &inner.FlowAsk{Verb: v, Host: f.Host, Path: strings.TrimSuffix(f.Path, "/") + "/" + id, Spec: spec}
	if f.Key != "" {
		digest := sha256.Sum256([]byte(f.Key))
		a.Key = digest[:]
	}
	rep := f.find(ctx, a)
	if c := code.Code(rep.GetCode()); c != code.OK {
		return nil, verb.CodeError(c, rep.GetDetail())
	}
	return rep, nil
}

// find asks one replica after the other, and whoever each takes for the leader,
// until the leader has answered or the time is over. Every request may be made
// again: flows have ids, and cancelling or asking twice changes nothing.
func (f flags) find(ctx context.Context, a *inner.FlowAsk) *inner.FlowAnswer {
	client := wire.NewClient(connections, nil, files.Processes)
	known := strings.Split(f.Control, ",")
	last := &inner.FlowAnswer{Code: uint32(code.LeaderTimeout)}
	for next := 0; ctx.Err() == nil; next++ {
		address := known[next%len(known)]
		for range 2 {
			rep, err := inner.NewFlowsProtobufClient("http://"+address, client).Ask(ctx, a)
			if err != nil {
				last = &inner.FlowAnswer{Code: uint32(code.LeaderTimeout), Detail: err.Error()}
				break
			}
			if code.Code(rep.GetCode()) != code.NoLeader {
				return rep
			}
			if last, address = rep, rep.GetLeader(); address == "" {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return last
}

// say prints a flow's state.
func (f flags) say(env verb.Env, id string, rep *inner.FlowAnswer) error {
	name := strings.ToLower(strings.TrimPrefix(rep.GetState().String(), "FLOW_STATE_"))
	return f.Print(env.Out, answer{ID: id, State: name}, verb.TextTable{Header: []string{"FLOW", "STATE"}, Rows: [][]string{{id, name}}})
}

// read reads a flow's file and checks it as the leader would.
func read(env verb.Env, args []string) (*v1.FlowSpec, error) {
	if len(args) != 1 {
		return nil, verb.UsageError("Name one FILE, or - for standard input.", "%d files", len(args))
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
	text, err := io.ReadAll(io.LimitReader(in, maxFile+1))
	switch {
	case err != nil:
		return nil, verb.UsageError("Check the file.", "%s: %v", args[0], err)
	case len(text) > maxFile:
		return nil, verb.UsageError("Give less input.", "%s has more than %d bytes", args[0], maxFile)
	}
	plain, err := hujson.Standardize(text)
	if err != nil {
		return nil, verb.UsageError("It must be JSON; comments are allowed.", "%s: %v", args[0], err)
	}
	spec := &v1.FlowSpec{}
	if err := protojson.Unmarshal(plain, spec); err != nil {
		return nil, verb.UsageError("The fields are those of FlowSpec in proto/v1/flow.proto.", "%s: %v", args[0], err)
	}
	if fault := domain.CheckSpec(spec); fault != nil {
		return nil, verb.UsageError("Mend the file; nothing was sent.", "%s: %v", args[0], fault)
	}
	return spec, nil
}

func one(args []string) (string, error) {
	if len(args) != 1 || args[0] == "" {
		return "", verb.UsageError("Name one flow ID.", "%d ids", len(args))
	}
	return args[0], nil
}

type check struct{ verb.OutputFlag }

// Run checks a file.
func (c *check) Run(_ context.Context, env verb.Env, args []string) error {
	spec, err := read(env, args)
	if err != nil {
		return err
	}
	tasks := uint32(0)
	for _, s := range spec.GetSteps() {
		tasks += s.GetCount()
	}
	type sound struct {
		ID    string `json:"id"`
		Steps int    `json:"steps"`
		Tasks uint32 `json:"tasks"`
	}
	out := sound{spec.GetId(), len(spec.GetSteps()), tasks}
	return c.Print(env.Out, out, verb.TextTable{Header: []string{"FLOW", "STEPS", "TASKS"}, Rows: [][]string{{out.ID, fmt.Sprint(out.Steps), fmt.Sprint(out.Tasks)}}})
}

type submit struct{ flags }

// Run hands a flow in.
func (c *submit) Run(ctx context.Context, env verb.Env, args []string) error {
	spec, err := read(env, args)
	if err != nil {
		return err
	}
	rep, err := c.ask(ctx, inner.FlowVerb_FLOW_VERB_SUBMIT, spec.GetId(), spec)
	if err != nil {
		return err
	}
	return c.say(env, spec.GetId(), rep)
}

type state struct{ flags }

// Run tells how a flow stands.
func (c *state) Run(ctx context.Context, env verb.Env, args []string) error {
	id, err := one(args)
	if err != nil {
		return err
	}
	rep, err := c.ask(ctx, inner.FlowVerb_FLOW_VERB_STATE, id, nil)
	if err != nil {
		return err
	}
	if err := c.say(env, id, rep); err != nil {
		return err
	}
	switch s := rep.GetState(); {
	case s < v1.FlowState_FLOW_STATE_DONE:
		return &verb.Error{ExitCode: verb.ExitUnfinished}
	case s > v1.FlowState_FLOW_STATE_DONE:
		return &verb.Error{ExitCode: verb.ExitFailed}
	}
	return nil
}

type cancel struct{ flags }

// Run cancels a flow.
func (c *cancel) Run(ctx context.Context, env verb.Env, args []string) error {
	id, err := one(args)
	if err != nil {
		return err
	}
	rep, err := c.ask(ctx, inner.FlowVerb_FLOW_VERB_CANCEL, id, nil)
	if err != nil {
		return err
	}
	return c.say(env, id, rep)
}

type pending struct{ flags }

// Run counts flows of which nothing has started.
func (c *pending) Run(ctx context.Context, env verb.Env, _ []string) error {
	rep, err := c.ask(ctx, inner.FlowVerb_FLOW_VERB_PENDING, "", nil)
	if err != nil {
		return err
	}
	return c.Print(env.Out, answer{Pending: rep.GetPending()}, verb.TextTable{Header: []string{"PENDING"}, Rows: [][]string{{fmt.Sprint(rep.GetPending())}}})
}

// Package verb is what every verb of the command line is made of: its
// registration, its surroundings, its exit code and its way to print.
//
// A verb is a package under internal/cli that exports New() verb.Verb;
// cmd/gypsumreel lists the packages. The flags of a verb are fields of a type
// with go-flags tags whose Run does the work.
package verb

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

// Program is the name of the command.
const Program = "gypsumreel"

// Env is what a verb may touch of the process that runs it.
type Env struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// StandardEnv returns the surroundings of the process.
func StandardEnv() Env { return Env{In: os.Stdin, Out: os.Stdout, Err: os.Stderr} }

// Runner does the work of a verb once its flags are set; args are what is left
// of the command line. The error decides on the exit code, see Exit.
type Runner interface {
	Run(ctx context.Context, env Env, args []string) error
}

// Verb registers one verb.
type Verb struct {
	Name  string
	Short string
	Long  string
	// Runner holds the flags; nil when there are Verbs below.
	Runner Runner
	// Subverbs are the verbs of a group, such as grant under key.
	Subverbs []Verb
}

// adapter lets go-flags run a verb.
type adapter struct {
	Runner
	ctx context.Context
	env Env
}

// Run parses args and runs the verb that they name. It returns the exit code.
func Run(ctx context.Context, env Env, args []string, verbs ...Verb) ExitCode {
	parser := flags.NewNamedParser(Program, flags.HelpFlag|flags.PassDoubleDash)
	runners := map[*flags.Command]adapter{}
	for _, v := range verbs {
		if err := add(parser.Command, v, runners, adapter{ctx: ctx, env: env}); err != nil {
			fmt.Fprintf(env.Err, "%s: %v\n", Program, err)
			return ExitUsage
		}
	}
	// go-flags would call Execute itself; the handler keeps the choice here.
	parser.CommandHandler = func(flags.Commander, []string) error { return nil }
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return misused(env, err)
	}
	a, ok := runners[innermost(parser.Command)]
	if !ok {
		parser.WriteHelp(env.Err)
		return ExitUsage
	}
	return conclude(env, a.Runner, a.Run(ctx, env, rest))
}

func add(parent *flags.Command, v Verb, runners map[*flags.Command]adapter, a adapter) error {
	data := any(&struct{}{})
	if v.Runner != nil {
		data = v.Runner
	}
	c, err := parent.AddCommand(v.Name, v.Short, v.Long, data)
	if err != nil {
		return fmt.Errorf("verb %s: %w", v.Name, err)
	}
	if v.Runner != nil {
		a.Runner = v.Runner
		runners[c] = a
	}
	for _, sub := range v.Subverbs {
		if err := add(c, sub, runners, a); err != nil {
			return err
		}
	}
	return nil
}

func innermost(c *flags.Command) *flags.Command {
	for c.Active != nil {
		c = c.Active
	}
	return c
}

func misused(env Env, err error) ExitCode {
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Fprintln(env.Out, flagErr.Message)
		return ExitOK
	}
	fmt.Fprintf(env.Err, "%s: %v\nRun `%s --help` for the verbs and flags.\n", Program, err, Program)
	return ExitUsage
}

// Package verb defines the subcommands of the command line, called verbs: their
// registration, environment, exit codes and output.
//
// Each verb is a package under internal/cli that exports New() verb.Verb, and
// cmd/gypsumreel lists these packages. The flags of a verb are the fields of its
// Runner, described by go-flags tags.
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

// Env holds the standard streams that a verb reads and writes.
type Env struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// StandardEnv returns the standard streams of the process.
func StandardEnv() Env { return Env{In: os.Stdin, Out: os.Stdout, Err: os.Stderr} }

// Runner executes a verb after its flags have been parsed. The args are the
// remaining positional arguments. The returned error determines the exit code, see
// ExitCode.
type Runner interface {
	Run(ctx context.Context, env Env, args []string) error
}

// Verb describes one subcommand, or a group of subcommands.
type Verb struct {
	Name string
	// Short is the one-line description in the list of verbs.
	Short string
	// Long is the description in the help text of the verb.
	Long string
	// Runner holds the flags and executes the verb. It is nil for a group of Subverbs.
	Runner Runner
	// Subverbs are the verbs of a group, such as grant in the group key.
	Subverbs []Verb
}

// invocation holds a Runner with the context and the environment to run it in.
type invocation struct {
	Runner
	ctx context.Context
	env Env
}

// Run parses args, runs the verb that they name and returns the exit code.
func Run(ctx context.Context, env Env, args []string, verbs ...Verb) ExitCode {
	parser := flags.NewNamedParser(Program, flags.HelpFlag|flags.PassDoubleDash)
	runners := map[*flags.Command]invocation{}
	for _, v := range verbs {
		if err := addCommand(parser.Command, v, runners, invocation{ctx: ctx, env: env}); err != nil {
			fmt.Fprintf(env.Err, "%s: %v\n", Program, err)
			return ExitUsage
		}
	}
	// The empty handler stops go-flags from calling Execute; the verb is run below.
	parser.CommandHandler = func(flags.Commander, []string) error { return nil }
	positional, err := parser.ParseArgs(args)
	if err != nil {
		return reportParseError(env, err)
	}
	selected, ok := runners[activeCommand(parser.Command)]
	if !ok {
		parser.WriteHelp(env.Err)
		return ExitUsage
	}
	return reportResult(env, selected.Runner, selected.Run(ctx, env, positional))
}

// addCommand registers a verb and its subverbs with go-flags below parent. It adds each
// verb that has a Runner to runners, as a copy of template with that Runner.
func addCommand(parent *flags.Command, v Verb, runners map[*flags.Command]invocation, template invocation) error {
	data := any(&struct{}{})
	if v.Runner != nil {
		data = v.Runner
	}
	command, err := parent.AddCommand(v.Name, v.Short, v.Long, data)
	if err != nil {
		return fmt.Errorf("verb %s: %w", v.Name, err)
	}
	if v.Runner != nil {
		template.Runner = v.Runner
		runners[command] = template
	}
	for _, sub := range v.Subverbs {
		if err := addCommand(command, sub, runners, template); err != nil {
			return err
		}
	}
	return nil
}

// activeCommand returns the innermost command that was selected on the command line.
func activeCommand(c *flags.Command) *flags.Command {
	for c.Active != nil {
		c = c.Active
	}
	return c
}

// reportParseError prints the help text if it was requested, otherwise the parse error,
// and returns the exit code.
func reportParseError(env Env, err error) ExitCode {
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Fprintln(env.Out, flagErr.Message)
		return ExitOK
	}
	fmt.Fprintf(env.Err, "%s: %v\nRun `%s --help` for the verbs and flags.\n", Program, err, Program)
	return ExitUsage
}

// Package cli implements the subcommands of mimosactl.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
)

// Exit codes of mimosactl.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Command is one subcommand.
type Command struct {
	// Name is the word that selects it.
	Name string
	// Summary is one line for the usage text.
	Summary string
	// Subcommands that Run selects from by the next argument, if any.
	Subcommands []Command
	// Run executes the subcommand and returns an exit code. args don't include
	// the name.
	Run func(ctx context.Context, args []string, stdout, stderr io.Writer) int
}

// Run executes the subcommand that the first argument names.
func Run(ctx context.Context, commands []Command, args []string, stdout, stderr io.Writer) int {
	return runNamed(ctx, "mimosactl", commands, args, stdout, stderr)
}

func runNamed(ctx context.Context, program string, commands []Command, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		usage(stderr, program, commands)
		return ExitUsage
	}
	if args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		usage(stdout, program, commands)
		return ExitOK
	}
	for _, command := range commands {
		if command.Name == args[0] {
			return command.Run(ctx, args[1:], stdout, stderr)
		}
	}
	fmt.Fprintf(stderr, "%s: unknown command %q\n\n", program, args[0])
	usage(stderr, program, commands)
	return ExitUsage
}

func usage(w io.Writer, program string, commands []Command) {
	fmt.Fprintf(w, "usage: %s COMMAND [arguments]\n\n", program)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, command := range commands {
		fmt.Fprintf(table, "  %s\t%s\n", command.Name, command.Summary)
	}
	table.Flush()
}

// newFlags returns a flag set that reports its faults on stderr.
func newFlags(name, arguments string, stderr io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprintf(stderr, "usage: mimosactl %s %s\n", name, arguments)
		flags.PrintDefaults()
	}
	return flags
}

// parse parses args and requires at least least and at most most positional
// arguments; a negative most sets no bound. It reports whether the command
// should go on, and the exit code if not.
func parse(flags *flag.FlagSet, args []string, least, most int) (int, bool) {
	switch err := flags.Parse(args); {
	case err == flag.ErrHelp:
		return ExitOK, false
	case err != nil:
		return ExitUsage, false
	}
	if n := flags.NArg(); n < least || most >= 0 && n > most {
		flags.Usage()
		return ExitUsage, false
	}
	return ExitOK, true
}

// fail prints an error and returns ExitFailed.
func fail(stderr io.Writer, err error) int {
	fmt.Fprintln(stderr, err)
	return ExitFailed
}

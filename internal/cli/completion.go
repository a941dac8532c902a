package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
)

// Completion returns the command that prints the completion of some commands and of
// itself for a shell.
func Completion(commands []Command) Command {
	c := Command{Name: "completion", Summary: "print the completion for bash or zsh"}
	c.Run = func(_ context.Context, args []string, stdout, stderr io.Writer) int {
		flags := newFlags("completion", "bash|zsh", stderr)
		if code, ok := parse(flags, args, 1, 1); !ok {
			return code
		}
		switch flags.Arg(0) {
		case "bash":
		case "zsh":
			fmt.Fprintln(stdout, "autoload -U +X bashcompinit && bashcompinit")
		default:
			fmt.Fprintf(stderr, "no completion for the shell %q\n", flags.Arg(0))
			return ExitUsage
		}
		writeCompletion(stdout, append(commands, c))
		return ExitOK
	}
	return c
}

// writeCompletion writes a function that completes commands, their subcommands, and
// file names elsewhere.
func writeCompletion(w io.Writer, commands []Command) {
	fmt.Fprintf(w, `_mimosactl() {
  local word=${COMP_WORDS[COMP_CWORD]} names=
  case $COMP_CWORD in
  1) names="%s" ;;
  2)
    case ${COMP_WORDS[1]} in
`, names(commands))
	for _, command := range commands {
		if len(command.Subcommands) > 0 {
			fmt.Fprintf(w, "    %s) names=\"%s\" ;;\n", command.Name, names(command.Subcommands))
		}
	}
	fmt.Fprint(w, `    esac
    ;;
  esac
  COMPREPLY=()
  [ -z "$names" ] || COMPREPLY=($(compgen -W "$names" -- "$word"))
}
complete -o default -F _mimosactl mimosactl
`)
}

// names lists the names of commands.
func names(commands []Command) string {
	var list []string
	for _, command := range commands {
		list = append(list, command.Name)
	}
	return strings.Join(list, " ")
}

package cli

import (
	"fmt"
	"io"
)

// lint checks each file that the arguments name, and prints what check says of the valid
// ones and the faults of the others.
func lint(command string, args []string, stdout, stderr io.Writer, check func(path string) (string, error)) int {
	flags := newFlags(command, "FILE...", stderr)
	if code, ok := parse(flags, args, 1, -1); !ok {
		return code
	}
	code := ExitOK
	for _, path := range flags.Args() {
		summary, err := check(path)
		if err != nil {
			code = fail(stderr, err)
			continue
		}
		fmt.Fprintf(stdout, "%s: %s is valid\n", path, summary)
	}
	return code
}

package cli

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
)

// Version prints what was built.
var Version = Command{Name: "version", Summary: "print the version", Run: runVersion}

func runVersion(_ context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("version", "", stderr)
	if code, ok := parse(flags, args, 0, 0); !ok {
		return code
	}
	version, revision := "(devel)", "unknown"
	toolchain := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version, toolchain = info.Main.Version, info.GoVersion
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = setting.Value
			}
		}
	}
	fmt.Fprintf(stdout, "mimosactl %s revision %s %s\n", version, revision, toolchain)
	return ExitOK
}

package cli

import (
	"context"
	"fmt"
	"io"

	"mimosafront/internal/settings"
)

// Settings checks settings files.
var Settings = Command{Name: "settings", Summary: "check settings files", Run: runSettings, Subcommands: settingsCommands}

var settingsCommands = []Command{
	{Name: "lint", Summary: "check settings files and report every fault", Run: runSettingsLint},
}

func runSettings(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return runNamed(ctx, "mimosactl settings", settingsCommands, args, stdout, stderr)
}

func runSettingsLint(_ context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("settings lint", "FILE...", stderr)
	if code, ok := parse(flags, args, 1, -1); !ok {
		return code
	}
	code := ExitOK
	for _, path := range flags.Args() {
		s, err := settings.Load(path)
		if err != nil {
			code = fail(stderr, err)
			continue
		}
		fmt.Fprintf(stdout, "%s: host %s in zone %s is valid\n", path, s.Node.Name, s.Node.Zone)
	}
	return code
}

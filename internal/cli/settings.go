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
	return lint("settings lint", args, stdout, stderr, func(path string) (string, error) {
		s, err := settings.Load(path)
		if err != nil {
			return "", err
		}
		return fmt.Sprintf("host %s in zone %s", s.Node.Name, s.Node.Zone), nil
	})
}

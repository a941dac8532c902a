// Command mimosafrontd runs an entry host. See daemon.Main for its command line and
// exit codes.
package main

import (
	"os"

	"mimosafront/internal/daemon"
	"mimosafront/internal/discovery"
	"mimosafront/internal/eventlog"
	"mimosafront/internal/settings"
	"mimosafront/platform"
)

func main() {
	adapter := &daemon.Adapter{
		Headers: platform.Headers(),
		Source: func(s settings.Platform, logger *eventlog.Logger) discovery.Source {
			return platform.NewStore(s, logger)
		},
	}
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr, adapter))
}

// Command mimosafrontd is the daemon of an entry host.
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

// Command mimosafrontd is the daemon of an entry host.
package main

import (
	"os"

	"mimosafront/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }

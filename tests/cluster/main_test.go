// Package cluster tests entry hosts as real processes on loopback addresses,
// with fault-injecting proxies between them. What must hold is read from the
// journals of the stand-in engines.
package cluster

import (
	"os"
	"testing"

	"mimosafront/internal/daemon"
)

// settingsVariable names the settings file of a test binary that runs as the
// daemon.
const settingsVariable = "MIMOSAFRONT_TEST_SETTINGS"

// TestMain runs the daemon in place of the tests if the environment asks for it.
func TestMain(m *testing.M) {
	if path := os.Getenv(settingsVariable); path != "" {
		os.Exit(daemon.Main([]string{"-settings", path}, os.Stdout, os.Stderr, nil))
	}
	os.Exit(m.Run())
}

package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"mimosafront/internal/daemon"
	"mimosafront/internal/status"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"mimosactl": main, "mimosafrontd": runDaemon})
}

// runDaemon is the main function of the command mimosafrontd in the scripts. It has no
// platform adapter.
func runDaemon() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr, nil))
}

// TestScripts runs the scripts in testdata/script. $EXAMPLES is the path of the
// examples folder; $ADMIN is the address of an admin listener with a fixed report.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../../examples")
	if err != nil {
		t.Fatal(err)
	}
	admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status.Report{
			Host: "e1", Zone: "lisbon-a", State: "ready", PolicyGeneration: 7, PolicyDigest: "0123456789abcdef", PolicySource: "platform",
			Members: []status.Member{{Host: "e2", Zone: "lisbon-b", State: "suspect", SilenceMs: 2100, Address: "10.0.0.2:8082"}},
			Pools: []status.Pool{{
				Target: "fountain-vision", Zone: "lisbon-a",
				Servers: []status.Server{{Name: "lisbon-a-engine-1", State: "ejected", Requests: 3, RequestLimit: 12, Tokens: 900, TokenLimit: 16000}},
				Queues:  []status.Queue{{Tier: "report", Organisation: "tejo", Waiting: 4, WaitingTokens: 2000, Running: 1}},
			}},
			Quarantined: []string{"deadbeef"},
			Rollouts: []status.Rollout{{
				Model: "fountain-vision", Version: "v2", State: "stopped", Replicas: 3, Current: 1, Serving: 3, Failures: 2,
			}},
		})
	}))
	t.Cleanup(admin.Close)
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			env.Setenv("ADMIN", strings.TrimPrefix(admin.URL, "http://"))
			return nil
		},
	})
}

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

	"mimosafront/internal/apierror"
	"mimosafront/internal/daemon"
	"mimosafront/internal/status"
	"mimosafront/internal/verdict"
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
	admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			answerExplain(w, r)
			return
		}
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

// answerExplain answers queries for explanations by their target or key.
func answerExplain(w http.ResponseWriter, r *http.Request) {
	var query status.Query
	_ = json.NewDecoder(r.Body).Decode(&query)
	e := status.Explanation{Host: "e1", Coordinator: "e1", Target: query.Target, Zone: "lisbon-a", Waiting: 2}
	switch {
	case query.Key == "wrong":
		w.WriteHeader(http.StatusUnauthorized)
		_ = json.NewEncoder(w).Encode(apierror.New(apierror.CodeUnauthorized, verdict.NotRun, "the key is unknown").Body())
		return
	case query.Target == "elsewhere":
		e.Coordinator = "e2"
	case query.Target == "busy":
		e.Refusal = &status.ExplainedRefusal{Reason: "deadline", Text: "too much goes first", Verdict: "not_run", RetryAfterMs: 1500}
	default:
		e.Route, e.Kind, e.Target = "stories", "stream, resumable", "narrator"
		e.Servers = []status.ExplainedServer{
			{Server: "s1", FirstTokenMs: 40, TotalMs: 900, ScoreMs: 950, HeldTokens: 1000, HeldAgeMs: query.PromptTokens, Requests: 2, Tokens: 300, TokenLimit: 16000, ReportAgeMs: 90},
			{Server: "s2", LeftOut: "leaving", ReportAgeMs: -1},
		}
		e.Zones = []status.ExplainedZone{{Zone: "lisbon-b", WaitMs: 300, CostMs: 58, DigestAgeMs: 700}}
	}
	_ = json.NewEncoder(w).Encode(e)
}

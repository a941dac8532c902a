package front

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/faultproxy"
	"mimosafront/internal/standin/engine"
	"mimosafront/internal/verdict"
)

// outputTokens is the length of the answers under test.
const outputTokens = 30

// silence is how long an entry host under test waits for a silent backend
// server: 200 steps of the stand-in engine, so that only faults reach it.
const silence = 2 * time.Second

// fault is a fault between the entry host and the engine.
type fault struct {
	name string
	// before acts before the request, atToken once that many tokens were seen.
	before  func(*faultproxy.Proxy, *engine.Engine)
	atToken func(*faultproxy.Proxy, *engine.Engine)
	verdict verdict.Verdict
	code    apierror.Code
	// arrives says whether the engine must have the request in its journal.
	arrives bool
}

func faults() []fault {
	set := func(d faultproxy.Direction, f faultproxy.Faults) func(*faultproxy.Proxy, *engine.Engine) {
		return func(p *faultproxy.Proxy, _ *engine.Engine) { p.Set(d, faultproxy.All, f) }
	}
	return []fault{
		{name: "none", verdict: verdict.Ran, arrives: true},
		{name: "refused", verdict: verdict.NotRun, code: apierror.CodeNoServer,
			before: func(p *faultproxy.Proxy, _ *engine.Engine) { p.Refuse() }},
		{name: "reset within the request", verdict: verdict.MayHaveRun, code: apierror.CodeServerFailed,
			before: set(faultproxy.ToTarget, faultproxy.Faults{ResetAfter: 20})},
		{name: "reset before the answer", verdict: verdict.MayHaveRun, code: apierror.CodeServerFailed, arrives: true,
			before: set(faultproxy.ToClient, faultproxy.Faults{ResetAfter: 1})},
		{name: "silent from the start", verdict: verdict.MayHaveRun, code: apierror.CodeServerSilent,
			before: func(p *faultproxy.Proxy, _ *engine.Engine) { p.Blackhole(faultproxy.All) }},
		{name: "answer silent", verdict: verdict.MayHaveRun, code: apierror.CodeServerSilent, arrives: true,
			before: set(faultproxy.ToClient, faultproxy.Faults{Blackhole: true})},
		{name: "silent in the stream, new connections work", verdict: verdict.Ran, arrives: true,
			atToken: func(p *faultproxy.Proxy, _ *engine.Engine) { p.Blackhole(faultproxy.ExistingOnly) }},
		{name: "silent in the stream for good", verdict: verdict.MayHaveRun, code: apierror.CodeServerSilent, arrives: true,
			atToken: func(p *faultproxy.Proxy, _ *engine.Engine) { p.Blackhole(faultproxy.All) }},
		{name: "reset in the stream", verdict: verdict.Ran, arrives: true,
			atToken: func(p *faultproxy.Proxy, _ *engine.Engine) { p.ResetConnections() }},
		{name: "cut in the stream", verdict: verdict.Ran, arrives: true,
			atToken: func(p *faultproxy.Proxy, _ *engine.Engine) { p.CloseConnections() }},
		{name: "cut and refused", verdict: verdict.MayHaveRun, code: apierror.CodeServerFailed, arrives: true,
			atToken: func(p *faultproxy.Proxy, _ *engine.Engine) { p.Refuse(); p.CloseConnections() }},
		{name: "engine crashes", verdict: verdict.MayHaveRun, code: apierror.CodeServerFailed, arrives: true,
			atToken: func(_ *faultproxy.Proxy, e *engine.Engine) { e.Crash(0) }},
		{name: "slow", verdict: verdict.Ran, arrives: true,
			before: set(faultproxy.ToClient, faultproxy.Faults{BytesPerSecond: 30000})},
	}
}

// TestFaults checks for each fault that the caller's verdict agrees with the
// engine's journal and that nothing reached the engine twice.
func TestFaults(t *testing.T) {
	for _, f := range faults() {
		for _, stream := range []bool{true, false} {
			if f.atToken != nil && !stream {
				continue
			}
			t.Run(fmt.Sprintf("%s/stream=%t", f.name, stream), func(t *testing.T) {
				t.Parallel()
				testFault(t, f, stream)
			})
		}
	}
}

func testFault(t *testing.T, f fault, stream bool) {
	standin := startEngine(t)
	proxy, err := faultproxy.New(standin.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	p := startHost(t, hostConfig{service: "127.0.0.1:1", engines: []string{proxy.Addr()}, silence: silence, logBytes: defaultLogBytes})
	if f.before != nil {
		f.before(proxy, standin)
	}
	seen := func(n int) {
		if n == 5 && f.atToken != nil {
			f.atToken(proxy, standin)
		}
	}
	a := p.complete("Draft a brief for the Petrov family: "+f.name, stream, outputTokens, seen)
	if a.verdict != f.verdict || a.code != f.code {
		t.Errorf("verdict %s, code %q, error %v; want %s, %q", a.verdict, a.code, a.err, f.verdict, f.code)
	}
	checkJournal(t, a, standin, f.arrives)
}

// checkJournal compares what a caller was told with what the engine did.
func checkJournal(t *testing.T, a answer, standin *engine.Engine, arrives bool) {
	t.Helper()
	runs := standin.Runs()[a.id]
	if len(runs) > 1 {
		t.Errorf("the engine got the request %d times", len(runs))
	}
	if arrives != (len(runs) > 0) {
		t.Errorf("the journal has %d entries", len(runs))
	}
	if a.whole != (a.verdict == verdict.Ran) {
		t.Errorf("whole is %t with verdict %s", a.whole, a.verdict)
	}
	if a.verdict == verdict.NotRun && len(runs) > 0 {
		t.Error("told not_run, but the engine has the request")
	}
	if len(runs) == 0 {
		return
	}
	text := engine.Answer(runs[0].Seed, outputTokens)
	if a.whole && (a.text != text || runs[0].Outcome != engine.OutcomeFinished) {
		t.Errorf("text %q, want %q; outcome %s", a.text, text, runs[0].Outcome)
	}
	if !strings.HasPrefix(text, a.text) {
		t.Errorf("text %q is no prefix of the engine's %q", a.text, text)
	}
}

func startEngine(t *testing.T) *engine.Engine {
	t.Helper()
	return startEngineWith(t, engine.Config{})
}

// startEngineWith starts an engine with a config but for name and models.
func startEngineWith(t *testing.T, c engine.Config) *engine.Engine {
	t.Helper()
	c.Name, c.Models = "engine-1", []string{"writer"}
	e := engine.New(c)
	if err := e.Start(""); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

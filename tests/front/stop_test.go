package front

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/standin/engine"
	"mimosafront/internal/status"
	"mimosafront/internal/verdict"
)

// streams is the number of callers at once.
const streams = 20

// load keeps callers sending until the entry host refuses them.
type load struct {
	group  sync.WaitGroup
	tokens atomic.Int64
	// begun counts the callers that have got a token.
	begun   atomic.Int64
	mu      sync.Mutex
	answers []answer
}

func startLoad(p *process) *load {
	l := &load{}
	for n := range streams {
		l.group.Go(func() {
			for round := range 1000 {
				a := p.complete(fmt.Sprintf("brief %d.%d", n, round), true, outputTokens, func(token int) {
					l.tokens.Add(1)
					if round == 0 && token == 1 {
						l.begun.Add(1)
					}
				})
				l.mu.Lock()
				l.answers = append(l.answers, a)
				l.mu.Unlock()
				if !a.whole {
					return
				}
			}
		})
	}
	return l
}

// awaitTokens waits until the callers have got some tokens in all, and each at least one.
func (l *load) awaitTokens(t *testing.T, n int64) {
	t.Helper()
	for end := time.Now().Add(patience); l.tokens.Load() < n || l.begun.Load() < streams; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("only %d tokens for %d callers after %s", l.tokens.Load(), l.begun.Load(), patience)
		}
	}
}

// TestStopUnderLoadCutsNothing checks that each request is answered whole or
// refused as not run while the entry host stops.
func TestStopUnderLoadCutsNothing(t *testing.T) {
	t.Parallel()
	standin := startEngine(t)
	p := startProcess(t, "127.0.0.1:1", standin.Address())
	l := startLoad(p)
	l.awaitTokens(t, 10*streams)
	p.signal(t, syscall.SIGTERM)
	// The rest of the answers takes longer than the end of the listeners.
	standin.SetSlowdown(15)
	l.group.Wait()
	if code := p.exitCode(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
	settle(t, standin)
	whole, refused := 0, 0
	for _, a := range l.answers {
		switch {
		case a.whole:
			whole++
			checkJournal(t, a, standin, true)
		case a.code == apierror.CodeStopping && a.verdict == verdict.NotRun && a.status == http.StatusServiceUnavailable:
			refused++
			checkJournal(t, a, standin, false)
		case a.id == "" && a.err != nil && strings.Contains(a.err.Error(), "refused"):
			refused++
		default:
			t.Errorf("answer %+v, error %v", a, a.err)
		}
	}
	if whole < streams || refused != streams {
		t.Errorf("%d whole, %d refused; want at least and exactly %d", whole, refused, streams)
	}
}

// TestStopServesWhatWaits checks that requests which wait for a grant when the
// entry host is told to stop are served before it ends.
func TestStopServesWhatWaits(t *testing.T) {
	t.Parallel()
	standin := startEngineWith(t, engine.Config{PrefillTokensPerS: 1e6})
	// No answer ends before the last request has come.
	standin.SetSlowdown(20)
	p := startProcess(t, "127.0.0.1:1", standin.Address())
	answers := make(chan answer, streams)
	for n := range streams {
		go func() {
			answers <- p.complete(fmt.Sprintf("%s %d", longPrompt, n), true, outputTokens, func(int) {})
		}()
	}
	p.await(t, "some run and some wait", func() bool {
		return p.requests(t) == streams && len(standin.Runs()) > 0
	})
	if n := len(standin.Runs()); n == streams {
		t.Fatal("no request waits")
	}
	p.signal(t, syscall.SIGTERM)
	standin.SetSlowdown(1)
	for range streams {
		if a := <-answers; !a.whole {
			t.Errorf("answer %+v", a)
		}
	}
	if code := p.exitCode(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// longPrompt takes most of what the engine may hold at once.
var longPrompt = strings.Repeat("family history ", 1000)

// requests returns the requests in progress that the status shows.
func (p *process) requests(t *testing.T) int {
	t.Helper()
	response, err := http.Get("http://" + p.admin + "/status")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var report status.Report
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		t.Fatal(err)
	}
	return report.Requests
}

// TestRepeatedTermCutsNothing guards against planned stops that overlap: a host that gets
// SIGTERM again while it stops must still answer what it has accepted.
func TestRepeatedTermCutsNothing(t *testing.T) {
	t.Parallel()
	standin := startEngine(t)
	p := startProcess(t, "127.0.0.1:1", standin.Address())
	l := startLoad(p)
	l.awaitTokens(t, streams)
	standin.SetSlowdown(15)
	p.signal(t, syscall.SIGTERM)
	p.await(t, "readiness is red", func() bool { return p.get(t, "/readyz") == http.StatusServiceUnavailable })
	for range 3 {
		p.signal(t, syscall.SIGTERM)
		time.Sleep(20 * time.Millisecond)
	}
	l.group.Wait()
	if code := p.exitCode(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
	settle(t, standin)
	for _, a := range l.answers {
		refused := a.code == apierror.CodeStopping && a.verdict == verdict.NotRun || a.id == "" && a.err != nil && strings.Contains(a.err.Error(), "refused")
		if !a.whole && !refused {
			t.Errorf("answer %+v, error %v", a, a.err)
		}
		if a.id != "" {
			checkJournal(t, a, standin, a.whole)
		}
	}
}

// TestSecondSignalNamesWhatItCuts checks the log and what callers are told when
// a stop is forced.
func TestSecondSignalNamesWhatItCuts(t *testing.T) {
	t.Parallel()
	standin := startEngine(t)
	p := startProcess(t, "127.0.0.1:1", standin.Address())
	l := startLoad(p)
	l.awaitTokens(t, streams)
	standin.SetSlowdown(20)
	p.signal(t, syscall.SIGTERM)
	p.await(t, "readiness is red", func() bool { return p.get(t, "/readyz") == http.StatusServiceUnavailable })
	p.signal(t, syscall.SIGINT)
	l.group.Wait()
	if code := p.exitCode(t); code != 1 {
		t.Errorf("exit code %d", code)
	}
	settle(t, standin)
	p.checkCut(t, l, standin)
}

// settle waits until the engine has handled all that the entry host, which has ended,
// sent to it.
func settle(t *testing.T, standin *engine.Engine) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	if err := standin.Settle(ctx); err != nil {
		t.Fatalf("the engine still handles requests: %v", err)
	}
}

// checkCut checks that each request that was cut is named in the log before it
// ended, and was told that it may have run.
func (p *process) checkCut(t *testing.T, l *load, standin *engine.Engine) {
	t.Helper()
	log, cut := p.logText(), 0
	for _, a := range l.answers {
		if a.whole || a.id == "" {
			continue
		}
		if a.code != apierror.CodeStopping {
			t.Errorf("answer %+v", a)
		}
		if a.verdict == verdict.NotRun {
			checkJournal(t, a, standin, false)
			continue
		}
		cut++
		checkJournal(t, a, standin, true)
		warned := strings.Index(log, `msg="cutting request" request=`+a.id)
		ended := strings.Index(log, `msg=request request=`+a.id)
		if warned < 0 || ended < warned {
			t.Errorf("request %s: named at %d of the log, ended at %d", a.id, warned, ended)
		}
	}
	if cut == 0 {
		t.Error("no request was cut")
	}
}

func (p *process) await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout: %s", what)
		}
	}
}

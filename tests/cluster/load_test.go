package cluster

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosafront/internal/explain"
	"mimosafront/internal/front"
	"mimosafront/internal/standin/engine"
	"mimosafront/internal/verdict"
)

func sha256Hex(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// call is one request of a caller.
type call struct {
	host, caller, tier string
	prompt             string
	tokens             int
}

// answer is what came of a call.
type answer struct {
	call
	id      string
	status  int
	verdict verdict.Verdict
	text    string
	// version is the one that the answer names.
	version string
	code    string
	err     error
	took    time.Duration
}

func (a answer) ok() bool { return a.err == nil && a.status == http.StatusOK }

var callClient = &http.Client{
	Timeout:   60 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableKeepAlives: true},
}

type completionBody struct {
	SystemFingerprint string `json:"system_fingerprint"`
	Choices           []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
	Error struct {
		Code    string          `json:"code"`
		Verdict verdict.Verdict `json:"verdict"`
	} `json:"error"`
}

// send sends a call and reads the whole answer.
func (f *fleet) send(ctx context.Context, c call) (a answer) {
	begun := time.Now()
	a = answer{call: c}
	defer func() { a.took = time.Since(begun) }()
	body, _ := json.Marshal(map[string]any{
		"model": "m", "max_tokens": c.tokens,
		"messages": []map[string]string{{"role": "user", "content": c.prompt}},
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.hosts[c.host].front+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Header.Set("Authorization", "Bearer key-"+c.caller)
	request.Header.Set(front.HeaderTier, c.tier)
	response, err := callClient.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	a.status, a.id = response.StatusCode, response.Header.Get(front.HeaderRequestID)
	text, err := io.ReadAll(response.Body)
	if err != nil {
		a.err = err
		return a
	}
	var parsed completionBody
	a.err = json.Unmarshal(text, &parsed)
	a.version = parsed.SystemFingerprint
	a.code, a.verdict = parsed.Error.Code, parsed.Error.Verdict
	if len(parsed.Choices) > 0 {
		a.text = parsed.Choices[0].Message.Content
	}
	return a
}

// load sends calls from many callers until it is stopped, and keeps the answers.
type load struct {
	fleet   *fleet
	cancel  context.CancelFunc
	done    sync.WaitGroup
	mu      sync.Mutex
	answers []answer
}

// worker describes callers that each send one call after the other.
type worker struct {
	hosts  []string
	caller string
	tier   string
	tokens int
	count  int
	pause  time.Duration
}

// startLoad starts callers. Each call carries its own prompt.
func (f *fleet) startLoad(workers ...worker) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{fleet: f, cancel: cancel}
	for _, w := range workers {
		for i := range w.count {
			l.done.Go(func() { l.work(ctx, w, i) })
		}
	}
	f.t.Cleanup(cancel)
	return l
}

func (l *load) work(ctx context.Context, w worker, number int) {
	for i := 0; ctx.Err() == nil; i++ {
		c := call{
			host: w.hosts[(number+i)%len(w.hosts)], caller: w.caller, tier: w.tier, tokens: w.tokens,
			prompt: fmt.Sprintf("%s %s: describe coin %d of crew %d", w.caller, w.tier, i, number),
		}
		if !l.fleet.running(c.host) {
			time.Sleep(time.Millisecond)
			continue
		}
		a := l.fleet.send(context.WithoutCancel(ctx), c)
		l.mu.Lock()
		l.answers = append(l.answers, a)
		l.mu.Unlock()
		time.Sleep(w.pause)
	}
}

// succeeded counts the whole answers so far.
func (l *load) succeeded() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, a := range l.answers {
		if a.ok() {
			n++
		}
	}
	return n
}

// progress waits until so many more calls were answered.
func (l *load) progress(n int) {
	l.fleet.t.Helper()
	target := l.succeeded() + n
	l.fleet.await(fmt.Sprintf("%d more answers", n), func() bool { return l.succeeded() >= target })
}

// end stops the callers once their calls are answered.
func (l *load) end() []answer {
	l.cancel()
	l.done.Wait()
	return l.answers
}

// check tests the invariants: each request reached an engine at most once; what
// was told to be not run was not; each whole answer is that of its prompt.
func (f *fleet) check(answers []answer) {
	f.t.Helper()
	runs := map[string][]engine.Entry{}
	for _, e := range f.engines {
		for id, entries := range e.Runs() {
			runs[id] = append(runs[id], entries...)
		}
	}
	for id, entries := range runs {
		if len(entries) > 1 {
			f.t.Errorf("request %s was dispatched %d times", id, len(entries))
		}
	}
	for _, a := range answers {
		if a.ok() {
			if want := engine.Answer(xxhash.Sum64String(a.prompt), a.tokens); a.text != want {
				f.t.Errorf("request %s got %q, want %q", a.id, a.text, want)
			}
			continue
		}
		if a.verdict == verdict.NotRun && len(runs[a.id]) > 0 {
			f.t.Errorf("request %s was told not run (%s), but an engine has it", a.id, a.code)
		}
	}
}

// failures returns the calls that got no whole answer, by what they got.
func failures(answers []answer) map[string]int {
	counts := map[string]int{}
	for _, a := range answers {
		switch {
		case a.ok():
		case a.err != nil:
			counts["connection"]++
		default:
			counts[a.code]++
		}
	}
	return counts
}

func (f *fleet) mustAnswerAll(answers []answer) {
	f.t.Helper()
	if got := failures(answers); len(got) > 0 {
		f.t.Errorf("calls without an answer: %v", got)
		f.explain(answers)
	}
}

// maxExplained bounds the failed calls whose story is printed.
const maxExplained = 3

// explain prints what the logs of all hosts tell of the first failed calls.
func (f *fleet) explain(answers []answer) {
	f.t.Helper()
	var logs []string
	for _, name := range f.names {
		logs = append(logs, f.logPath(name))
	}
	explained := 0
	for _, a := range answers {
		if a.ok() || a.id == "" || explained == maxExplained {
			continue
		}
		explained++
		story, err := explain.Read(a.id, logs)
		if err != nil {
			f.t.Error(err)
			return
		}
		var text strings.Builder
		story.Print(&text)
		f.t.Logf("call through %s, %s after %s:\n%s", a.host, a.code, a.took.Round(time.Millisecond), text.String())
	}
}

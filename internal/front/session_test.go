package front

import (
	"flag"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/memnet"
	"mimosafront/internal/verdict"
)

// update makes the tests write their golden files.
var update = flag.Bool("update", false, "write the golden files")

// session is one exchange of a caller with a front, with its circumstances.
type session struct {
	name string
	// request is the raw request of the caller.
	request string
	// engine answers the request; nil sends a complete answer.
	engine http.HandlerFunc
	// prepare changes the host before the request, if set.
	prepare func(h *host)
	// held is the answer of the engine to a call that holds the request; the server
	// holds streams if it is set. resume serves the resumed stream.
	held   string
	resume http.HandlerFunc
	// during runs while the request is in progress, if set.
	during func(h *host)
}

func sessions() []session {
	cutStream := func(w http.ResponseWriter, r *http.Request) {
		writeChunk(w, r.Header.Get("X-Request-Id"), "An ")
		panic(http.ErrAbortHandler)
	}
	stalled := func(w http.ResponseWriter, r *http.Request) {
		writeChunk(w, r.Header.Get("X-Request-Id"), "An ")
		<-r.Context().Done()
	}
	rest := func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		if r.URL.Query().Get("after") == "1" {
			writeChunk(w, id, "oak ")
			writeChunk(w, id, "plate.")
		}
		writeEnd(w, id, 3)
	}
	held := `{"outcome":"held","prompt_tokens":9,"prefilled_tokens":9,"output_tokens":2}`
	chat := "/v1/chat/completions"
	refusal := apierror.New(apierror.CodeShed, verdict.NotRun, "refused for work of higher precedence").WithRetry(2 * time.Second)
	return []session{
		{name: "whole", request: post(chat, chatBody(false), "Mimosa-Tier: brief")},
		{name: "streamed", request: post(chat, chatBody(true), "Mimosa-Tier: brief")},
		{name: "refused", request: post(chat, chatBody(true)), prepare: func(h *host) { h.scheduler.refuse = refusal }},
		{name: "cut-stream", request: post(chat, chatBody(true)), engine: cutStream},
		{name: "cut-whole", request: post(chat, chatBody(false)), engine: cutStream},
		{name: "revoked", request: post(chat, chatBody(true)), engine: stalled, during: revokeAfterToken},
		{name: "parked", request: post(chat, chatBody(true)), engine: stalled, during: revokeAfterToken, held: held, resume: rest},
		{name: "parked-whole", request: post(chat, chatBody(false)), engine: stalled, during: revokeAfterToken, held: held, resume: rest},
		{name: "parked-refused", request: post(chat, chatBody(true)), engine: stalled, held: held, resume: rest,
			during: revokeAfterToken, prepare: func(h *host) { h.scheduler.refusePinned = refusal }},
		{name: "parked-evacuated", request: post(chat, chatBody(true)), engine: stalled, held: held, resume: rest,
			during: evacuateAfterToken},
		{name: "parked-dropped", request: post(chat, chatBody(true)), engine: stalled, during: revokeAfterToken, held: held},
		{name: "parked-no-memory", request: post(chat, chatBody(true)), engine: stalled, during: revokeAfterToken, held: `{"outcome":"cancelled"}`},
		{name: "deadline", request: post(chat, chatBody(true), "Mimosa-Deadline-Ms: 300"), engine: stalled},
		{name: "malformed", request: post(chat, `{"model":"writer","messages":"none"}`)},
		{name: "not-http", request: "NONSENSE\r\n\r\n"},
		{name: "unauthorised", request: strings.Replace(post(chat, chatBody(true)), testKey, "wrong-key", 1)},
		{name: "forbidden-tier", request: strings.Replace(post(chat, chatBody(true), "Mimosa-Tier: brief"), testKey, "volunteer", 1)},
		{name: "infeasible", request: post(chat, `{"model":"writer","max_tokens":5000,"messages":[{"role":"user","content":"x"}]}`)},
		{name: "stopping", request: post(chat, chatBody(true)), prepare: func(h *host) { h.front.Stop(time.Time{}) }},
		{name: "ticket-mint", request: post("/services/orders/tickets", "")},
		{name: "ticket-operation", request: post("/services/orders/captures", `{"order":7}`, "Mimosa-Ticket: ticket-1", "Content-Type: application/json")},
		{name: "ticket-needed", request: post("/services/orders/captures", `{"order":7}`)},
		{name: "lookup", request: strings.Replace(post("/services/orders/captures/7", ""), "POST", "GET", 1)},
	}
}

// revokeAfterToken revokes the first grant once a token of its answer was delivered.
func revokeAfterToken(h *host) {
	for range 1000 {
		if h.scheduler.deliveredTokens() > 0 {
			close(h.scheduler.lease(0).revoked)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// evacuateAfterToken evacuates the zone of the first grant once a token of its answer was
// delivered, and revokes the grant.
func evacuateAfterToken(h *host) {
	for h.scheduler.deliveredTokens() == 0 {
		time.Sleep(time.Millisecond)
	}
	evacuate(h)
	revokeAfterToken(h)
}

// deliveredTokens returns the token count that was last reported on the first lease.
func (s *fakeScheduler) deliveredTokens() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.leases) == 0 {
		return 0
	}
	s.leases[0].mu.Lock()
	defer s.leases[0].mu.Unlock()
	return s.leases[0].progress
}

// captures is the handler of a plain service that records payments.
func captures(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if r.Method == http.MethodPost {
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write([]byte(`{"captured":7,"operation":"` + r.Header.Get("X-Operation-Id") + `","fencing":` + r.Header.Get("X-Fencing-Number") + `}`))
		return
	}
	_, _ = w.Write([]byte(`{"order":7,"state":"captured"}`))
}

// TestSessions compares the bytes that callers receive, and the log of the front, with
// golden files.
func TestSessions(t *testing.T) {
	for _, s := range sessions() {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			memnet.Test(t, func(t *testing.T, n *memnet.Network) { runSession(t, n, s) })
		})
	}
}

func runSession(t *testing.T, n *memnet.Network, s session) {
	answer := s.engine
	if answer == nil {
		answer = answerWhole
	}
	engine := startEngine(t, n, answer)
	service := startService(t, n, captures)
	engine.held, engine.resume = s.held, s.resume
	address := engine.address
	if s.held != "" {
		address += "\nholds_streams = true"
	}
	h := startHost(t, n, testPolicy(t, []string{address}, []string{service}), testSettings())
	if s.prepare != nil {
		s.prepare(h)
	}
	if s.during != nil {
		go s.during(h)
	}
	bytes := h.send(t, s.request)
	golden(t, s.name, transcript(s.request, bytes, h.finishedLog(t)))
}

// finishedLog returns the log after the front has ended all requests.
func (h *host) finishedLog(t *testing.T) string {
	t.Helper()
	h.front.Stop(time.Time{})
	if err := h.front.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	return h.log.String()
}

// normalisations replace the parts of a transcript that differ between runs.
var normalisations = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`\b[0-9a-v]{20}\b`), "<id>"},
	{regexp.MustCompile(`Date: [^\r\n]*`), "Date: <date>"},
	{regexp.MustCompile(`_ms=\d+`), "_ms=<n>"},
	{regexp.MustCompile(`(?m)^time=\S+ `), ""},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "<address>"},
	{regexp.MustCompile(`Bearer [^\r\n]*`), "Bearer <key>"},
}

// transcript returns the request, the answer and the log of a session, normalised.
func transcript(request, answer, log string) string {
	text := "--- caller\n" + request + "\n--- front\n" + answer + "\n--- log\n" + log
	for _, n := range normalisations {
		text = n.pattern.ReplaceAllString(text, n.text)
	}
	return strings.ReplaceAll(text, "\r\n", "\n")
}

// golden compares a transcript with its golden file, or writes the file with -update.
func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "sessions", name+".golden")
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("the session differs from %s (go test -update rewrites it)\n--- got\n%s\n--- want\n%s", path, got, want)
	}
}

// startService starts a plain service and returns its address.
func startService(t testing.TB, n network, handler http.HandlerFunc) string {
	t.Helper()
	e := startEngine(t, n, nil)
	e.server.Handler = handler
	return e.address
}

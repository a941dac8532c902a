package front

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"mimosafront/internal/apierror"
	"mimosafront/internal/eventlog"
	"mimosafront/internal/grant"
	"mimosafront/internal/message"
	"mimosafront/internal/metrics"
	"mimosafront/internal/policy"
	"mimosafront/internal/settings"
	"mimosafront/internal/verdict"
)

const testKey = "key-of-the-head-engraver"

const policyFormat = `
[policy]
generation = 1
association = workshop
[zone a]
[tier brief]
rank = 0
deadline_ms = 10000
max_deadline_ms = 20000
[tier caption]
rank = 1
deadline_ms = 10000
max_deadline_ms = 20000
[organisation engravers]
[organisation volunteers]
tiers = caption
targets = writer
[caller head-engraver]
organisation = engravers
key_sha256 = %s
[caller volunteer]
organisation = volunteers
key_sha256 = %s
[model writer]
context_tokens = 4096
output_tokens = 16
[service orders]
repeatable = GET, HEAD
operations = ticket
`

// testPolicy returns a policy with engines e1, e2 ... and services s1, s2 ... at the
// given addresses.
func testPolicy(t testing.TB, engines, services []string) *policy.Policy {
	t.Helper()
	text := fmt.Sprintf(policyFormat, hash(testKey), hash("volunteer"))
	for i, address := range engines {
		text += fmt.Sprintf("[server e%d]\nzone = a\naddress = %s\nkind = engine\nmodels = writer\n", i+1, address)
	}
	for i, address := range services {
		text += fmt.Sprintf("[server s%d]\nzone = a\naddress = %s\nkind = service\nservices = orders\n", i+1, address)
	}
	p, err := policy.Parse("test.policy.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// hash returns the SHA-256 of a key in hexadecimal, as policies hold it.
func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// fakeScheduler grants each request at once, on the first server of the target that is
// not excluded.
type fakeScheduler struct {
	policy *policy.Policy
	// refuse is returned in place of a grant, if set.
	refuse *apierror.Error
	// refusePinned is returned to requests for a specific server, if set.
	refusePinned *apierror.Error
	// expireFirst is the number of first grants that expire before their dispatch.
	expireFirst int
	// hold makes requests of the tier with rank heldTier wait until their context ends.
	hold     bool
	heldTier int

	mu       sync.Mutex
	grants   int
	leases   []*fakeLease
	requests []grant.Request
}

func (s *fakeScheduler) Acquire(ctx context.Context, r grant.Request) (grant.Lease, *apierror.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, r)
	if s.refuse != nil {
		return nil, s.refuse
	}
	if s.refusePinned != nil && r.Server != "" {
		return nil, s.refusePinned
	}
	if s.hold && r.Tier == s.heldTier {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return nil, apierror.New(apierror.CodeCallerGone, verdict.NotRun, "withdrawn")
	}
	servers := slices.Concat(s.policy.PoolServers(message.Pool{Zone: "a", Target: r.Target}), s.policy.PoolServers(message.Pool{Zone: "b", Target: r.Target}))
	for _, server := range servers {
		if !contains(r.Excluded, server.Name) && (r.Server == "" || r.Server == server.Name) {
			s.grants++
			lease := &fakeLease{id: fmt.Sprintf("grant-%d", s.grants), server: server, revoked: make(chan struct{}), released: make(chan struct{}), expired: s.grants <= s.expireFirst, pinned: r.Server != ""}
			s.leases = append(s.leases, lease)
			return lease, nil
		}
	}
	return nil, apierror.New(apierror.CodeNoServer, verdict.NotRun, "no backend server is left").WithRetry(time.Second)
}

func contains(list []string, name string) bool {
	for _, item := range list {
		if item == name {
			return true
		}
	}
	return false
}

// holdTier makes the requests of a tier wait for a grant.
func (s *fakeScheduler) holdTier(rank int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold, s.heldTier = true, rank
}

// requestCount returns the number of requests for a grant.
func (s *fakeScheduler) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// lease returns the lease of the n-th grant, counted from 0.
func (s *fakeScheduler) lease(n int) *fakeLease {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases[n]
}

// fakeLease is a lease that records how it is used and released.
type fakeLease struct {
	id       string
	server   policy.Server
	revoked  chan struct{}
	released chan struct{}

	mu         sync.Mutex
	dispatched bool
	expired    bool
	pinned     bool
	result     grant.Result
	progress   int
}

func (l *fakeLease) ID() string               { return l.id }
func (l *fakeLease) Server() policy.Server    { return l.server }
func (l *fakeLease) Revoked() <-chan struct{} { return l.revoked }

func (l *fakeLease) Resume() *apierror.Error { return l.use(true) }

func (l *fakeLease) Dispatch() *apierror.Error { return l.use(false) }

func (l *fakeLease) use(bound bool) *apierror.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dispatched || l.expired || l.pinned != bound {
		return apierror.New(apierror.CodeNoServer, verdict.NotRun, "the grant has expired")
	}
	l.dispatched = true
	return nil
}

func (l *fakeLease) Progress(tokens int, _ time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progress = tokens
}

func (l *fakeLease) Release(r grant.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result = r
	close(l.released)
}

// outcome waits for the release of the lease and returns its outcome.
func (l *fakeLease) outcome() message.ReleaseOutcome {
	<-l.released
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.result.Outcome
}

// fakeOperations executes each operation on its own front, at once.
type fakeOperations struct{ front *Front }

func (o *fakeOperations) Mint(policy.Caller, string) string { return "ticket-1" }

func (o *fakeOperations) Execute(ctx context.Context, call message.OperationCall) message.OperationReply {
	call.Fencing = 7
	return o.front.RunOperation(ctx, call)
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// network is the network of the hosts and engines under test: in memory under a fake
// clock, or loopback ports.
type network interface {
	Listen(address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// loopback is the network of the benchmarks, whose listeners are real loopback ports.
type loopback struct{ net.Dialer }

func (*loopback) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func listen(t testing.TB, n network) net.Listener {
	t.Helper()
	listener, err := n.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// host is a front under test that serves on a network.
type host struct {
	network   network
	front     *Front
	scheduler *fakeScheduler
	address   string
	log       *lockedBuffer
}

func testSettings() settings.Front {
	return settings.Front{
		MaxBodyBytes: 64 << 10, MaxHeaderBytes: 8 << 10, MaxConnections: 64, MaxMemoryBytes: 1 << 20,
		ReadTimeoutMs: 2000, IdleTimeoutMs: 2000, StreamIdleTimeoutMs: 1000, WriteTimeoutMs: 2000, ConnectTimeoutMs: 1000,
		RetryRatio: 0.2, RetryBurst: 50,
	}
}

func startHost(t testing.TB, n network, p *policy.Policy, s settings.Front) *host {
	t.Helper()
	return startRoutedHost(t, n, p, s, nil)
}

// startRoutedHost starts a front. With headers it serves the routes of the policy.
func startRoutedHost(t testing.TB, n network, p *policy.Policy, s settings.Front, headers *RouteHeaders) *host {
	t.Helper()
	h := &host{network: n, scheduler: &fakeScheduler{policy: p}, log: &lockedBuffer{}}
	operations := &fakeOperations{}
	h.front = New(Config{
		Settings:   s,
		Policy:     func() *policy.Policy { return p },
		Scheduler:  h.scheduler,
		Operations: operations,
		Metrics:    metrics.NewFront(tally.NoopScope),
		Logger:     eventlog.NewDirect(h.log),
		Dial:       n.DialContext,
		Headers:    headers,
	})
	operations.front = h.front
	listener := h.front.LimitConnections(listen(t, n))
	h.address = listener.Addr().String()
	server := h.front.Server()
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return h
}

// send writes raw bytes on a new connection and returns all that is received until the
// front closes it.
func (h *host) send(t testing.TB, raw string) string {
	t.Helper()
	conn := h.dial(t)
	defer conn.Close()
	if _, err := io.WriteString(conn, raw); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("read: %v after %q", err, answer)
	}
	return string(answer)
}

// post returns a raw POST request with the key of a caller.
func post(path, body string, headers ...string) string {
	head := []string{"POST " + path + " HTTP/1.1", "Host: front", "Connection: close",
		"Authorization: Bearer " + testKey, fmt.Sprintf("Content-Length: %d", len(body))}
	return strings.Join(append(head, headers...), "\r\n") + "\r\n\r\n" + body
}

// chatBody returns the body of a chat completion request.
func chatBody(stream bool) string {
	return fmt.Sprintf(`{"model":"writer","stream":%t,"messages":[{"role":"user","content":"Draft a brief for the Petrov family."}]}`, stream)
}

// scriptedEngine is an engine whose answers are given by a test.
type scriptedEngine struct {
	address string
	server  *http.Server

	mu sync.Mutex
	// arrivals counts the requests by request ID.
	arrivals map[string]int
	cancels  int
	// held is the answer to a call that holds a request; resume serves the resumed
	// stream.
	held   string
	resume http.HandlerFunc
}

// count returns the number of distinct requests that arrived.
func (e *scriptedEngine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.arrivals)
}

func startEngine(t testing.TB, n network, answer http.HandlerFunc) *scriptedEngine {
	t.Helper()
	listener := listen(t, n)
	e := &scriptedEngine{address: listener.Addr().String(), arrivals: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.arrivals[r.Header.Get("X-Request-Id")]++
		e.mu.Unlock()
		// The HTTP server detects a closed connection only after the body was read.
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		answer(w, r)
	})
	mux.HandleFunc("POST /v1/requests/{id}/cancel", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("hold") == "true" {
			_, _ = io.WriteString(w, e.held)
			return
		}
		e.mu.Lock()
		e.cancels++
		e.mu.Unlock()
	})
	mux.HandleFunc("GET /v1/requests/{id}/stream", func(w http.ResponseWriter, r *http.Request) {
		if e.resume == nil {
			http.NotFound(w, r)
			return
		}
		e.resume(w, r)
	})
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(listener) }()
	t.Cleanup(func() { _ = e.server.Close() })
	return e
}

// writeChunk sends a chunk with one token.
func writeChunk(w http.ResponseWriter, id, text string) {
	fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", id, text)
	_ = http.NewResponseController(w).Flush()
}

// writeEnd sends the last chunk, with the usage of an answer of the given number of
// tokens, and [DONE].
func writeEnd(w http.ResponseWriter, id string, tokens int) {
	fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", id, tokens)
}

// answerWhole sends a complete answer of three tokens.
func answerWhole(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("Content-Type", "text/event-stream")
	for _, text := range []string{"An ", "oak ", "plate."} {
		writeChunk(w, id, text)
	}
	writeEnd(w, id, 3)
}

package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mimosafront/internal/memnet"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

// dial opens a connection of a caller to the host.
func (h *host) dial(t testing.TB) net.Conn {
	t.Helper()
	conn, err := h.network.DialContext(t.Context(), "tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// TestConnectFailureIsRetriedElsewhere checks that a request whose server refuses the
// connection runs once, on another server.
func TestConnectFailureIsRetriedElsewhere(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		closed := closedAddress(t, n)
		engine := startEngine(t, n, answerWhole)
		h := startHost(t, n, testPolicy(t, []string{closed, engine.address}, nil), testSettings())
		answer := h.send(t, post("/v1/chat/completions", chatBody(false)))
		if !strings.HasPrefix(answer, "HTTP/1.1 200 ") {
			t.Fatalf("answer %q", answer)
		}
		if got := h.scheduler.lease(0).outcome(); got != message.ReleaseOutcomeConnectFailed {
			t.Errorf("the first grant was released with the outcome %s", got)
		}
		if got := h.scheduler.lease(1).outcome(); got != message.ReleaseOutcomeFinished {
			t.Errorf("the second grant was released with the outcome %s", got)
		}
		for id, n := range engine.arrivals {
			if n != 1 {
				t.Errorf("request %s arrived %d times", id, n)
			}
		}
	})
}

// TestNoServerIsNotRun checks that a request fails with the verdict not_run after all
// servers refused the connection.
func TestNoServerIsNotRun(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		h := startHost(t, n, testPolicy(t, []string{closedAddress(t, n), closedAddress(t, n)}, nil), testSettings())
		answer := h.send(t, post("/v1/chat/completions", chatBody(true)))
		if !strings.HasPrefix(answer, "HTTP/1.1 503 ") || !strings.Contains(answer, "Mimosa-Verdict: not_run") {
			t.Errorf("answer %q", answer)
		}
	})
}

// closedAddress returns an address at which connections are refused.
func closedAddress(t *testing.T, n network) string {
	t.Helper()
	listener := listen(t, n)
	defer listener.Close()
	return listener.Addr().String()
}

// TestExpiredGrantIsNotDispatched checks that the front asks for another grant if the
// first expired before its dispatch.
func TestExpiredGrantIsNotDispatched(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		engine := startEngine(t, n, answerWhole)
		h := startHost(t, n, testPolicy(t, []string{engine.address}, nil), testSettings())
		h.scheduler.expireFirst = 1
		answer := h.send(t, post("/v1/chat/completions", chatBody(false)))
		if !strings.HasPrefix(answer, "HTTP/1.1 200 ") {
			t.Fatalf("answer %q", answer)
		}
		if got := h.scheduler.lease(0).outcome(); got != message.ReleaseOutcomeUnused {
			t.Errorf("the expired grant was released with the outcome %s", got)
		}
	})
}

// TestCallerDisconnectCancelsRequest checks that the request is cancelled on the engine
// and the grant released when a caller disconnects during a stream.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		engine := startEngine(t, n, func(w http.ResponseWriter, r *http.Request) {
			writeChunk(w, r.Header.Get("X-Request-Id"), "An ")
			<-r.Context().Done()
		})
		h := startHost(t, n, testPolicy(t, []string{engine.address}, nil), testSettings())
		conn := h.dial(t)
		_, _ = io.WriteString(conn, post("/v1/chat/completions", chatBody(true)))
		if _, err := bufio.NewReader(conn).ReadString('}'); err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
		if got := h.scheduler.lease(0).outcome(); got != message.ReleaseOutcomeCancelled {
			t.Errorf("the grant was released with the outcome %s", got)
		}
		h.front.background.Wait()
		if engine.cancels != 1 {
			t.Errorf("the engine got %d cancel calls, want 1", engine.cancels)
		}
	})
}

// TestSlowReaderIsDropped checks that the request of a caller that reads nothing is
// ended, and that other requests are unaffected.
func TestSlowReaderIsDropped(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		filler := strings.Repeat("x", 32<<10)
		engine := startEngine(t, n, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			if !strings.Contains(string(body), "endless") {
				answerWhole(w, r)
				return
			}
			for r.Context().Err() == nil {
				writeChunk(w, r.Header.Get("X-Request-Id"), filler)
			}
		})
		s := testSettings()
		s.WriteTimeoutMs = 200
		h := startHost(t, n, testPolicy(t, []string{engine.address}, nil), s)
		conn := h.dial(t)
		_, _ = io.WriteString(conn, post("/v1/chat/completions", strings.Replace(chatBody(true), "Draft", "endless", 1)))
		for h.scheduler.deliveredTokens() == 0 {
			time.Sleep(time.Millisecond)
		}
		if answer := h.send(t, post("/v1/chat/completions", chatBody(true))); !strings.Contains(answer, "[DONE]") {
			t.Errorf("another caller got %q", answer)
		}
		if got := h.scheduler.lease(0).outcome(); got != message.ReleaseOutcomeCancelled {
			t.Errorf("the grant was released with the outcome %s", got)
		}
	})
}

// TestInvalidRequestsAreRefused checks the answers to malformed, slow and oversized
// requests, and that they reach no engine.
func TestInvalidRequestsAreRefused(t *testing.T) {
	s := testSettings()
	s.ReadTimeoutMs = 200
	chat := post("/v1/chat/completions", chatBody(true))
	head, _, _ := strings.Cut(chat, "\r\n\r\n")
	chunked := strings.Replace(head, "Content-Length: 110", "Transfer-Encoding: chunked", 1) + "\r\n\r\n"
	big := strings.Repeat("x", s.MaxBodyBytes+1)
	cases := []struct{ name, request, want string }{
		{"slow header", head, ""},
		{"slow body", chat[:len(chat)-5], "HTTP/1.1 400 "},
		{"body over the limit", post("/v1/chat/completions", big), "HTTP/1.1 413 "},
		{"chunked body over the limit", chunked + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(big), big), "HTTP/1.1 413 "},
		{"bad chunk", chunked + "zz\r\n", "HTTP/1.1 400 "},
		{"header over the limit", strings.Replace(chat, "Host:", "X-Filler: "+strings.Repeat("x", 16<<10)+"\r\nHost:", 1), "HTTP/1.1 431 "},
		{"no key", strings.Replace(chat, "Authorization", "X-Nothing", 1), "HTTP/1.1 401 "},
		{"bad deadline", strings.Replace(chat, "Host:", "Mimosa-Deadline-Ms: soon\r\nHost:", 1), "HTTP/1.1 400 "},
		{"deadline beyond the tier", strings.Replace(chat, "Host:", "Mimosa-Deadline-Ms: 99999999\r\nHost:", 1), "HTTP/1.1 400 "},
		{"unknown tier", strings.Replace(chat, "Host:", "Mimosa-Tier: royal\r\nHost:", 1), "HTTP/1.1 400 "},
		{"unknown model", strings.Replace(chat, "writer", "wroter", 1), "HTTP/1.1 404 "},
		{"unknown path", strings.Replace(chat, "/chat/", "/chatter/", 1), "HTTP/1.1 404 "},
		{"not JSON", post("/v1/chat/completions", "{"), "HTTP/1.1 400 "},
		{"negative limit", post("/v1/chat/completions", strings.Replace(chatBody(true), `"stream"`, `"max_tokens":-1,"stream"`, 1)), "HTTP/1.1 400 "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			memnet.Test(t, func(t *testing.T, n *memnet.Network) {
				engine := startEngine(t, n, answerWhole)
				h := startHost(t, n, testPolicy(t, []string{engine.address}, nil), s)
				conn := h.dial(t)
				go func() { _, _ = io.WriteString(conn, c.request) }()
				answer, _ := io.ReadAll(conn)
				if !strings.HasPrefix(string(answer), c.want) || c.want == "" && len(answer) > 0 {
					t.Errorf("answer %.200q, want %q", answer, c.want)
				}
				if n := engine.count(); n != 0 {
					t.Errorf("the engine got %d requests", n)
				}
			})
		})
	}
}

// TestNoKeyIsLogged checks that valid and invalid requests leave no key in the log.
func TestNoKeyIsLogged(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		engine := startEngine(t, n, answerWhole)
		h := startHost(t, n, testPolicy(t, []string{engine.address}, nil), testSettings())
		h.send(t, post("/v1/chat/completions", chatBody(true)))
		h.send(t, post("/v1/chat/completions", "{"+testKey))
		h.send(t, strings.Replace(post("/v1/chat/completions", chatBody(true)), testKey, "a-wrong-key", 1))
		h.send(t, strings.Replace(post("/v1/models?key="+testKey, ""), "POST", "GET", 1))
		h.send(t, post("/unknown?key="+testKey, "", "Mimosa-Tier: "+testKey))
		h.send(t, "GET / HTTP/1.1\r\nHost: front\r\nAuthorization: Bearer "+testKey+"\r\nBad Header: x\r\n\r\n")
		for _, key := range []string{testKey, "a-wrong-key"} {
			if strings.Contains(h.finishedLog(t), key) {
				t.Errorf("the log holds the key %s:\n%s", key, h.log)
			}
		}
	})
}

// TestIdleConnectionsAreReplaced checks that idle connections, whether new or kept
// alive, do not keep new connections out.
func TestIdleConnectionsAreReplaced(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		engine := startEngine(t, n, answerWhole)
		s := testSettings()
		s.MaxConnections = 2
		s.ReadTimeoutMs, s.IdleTimeoutMs = 60000, 60000
		h := startHost(t, n, testPolicy(t, []string{engine.address}, nil), s)
		kept := h.dial(t)
		_, _ = io.WriteString(kept, strings.Replace(post("/v1/chat/completions", chatBody(false)), "Connection: close\r\n", "", 1))
		if _, err := bufio.NewReader(kept).ReadString('}'); err != nil {
			t.Fatal(err)
		}
		for range 2 * connectionsPerRequest * s.MaxConnections {
			h.dial(t)
		}
		if answer := h.send(t, post("/v1/chat/completions", chatBody(false))); !strings.HasPrefix(answer, "HTTP/1.1 200 ") {
			t.Errorf("answer %q", answer)
		}
	})
}

// TestBusyConnectionsAreNotReplaced checks that a new connection waits while all others
// carry requests.
func TestBusyConnectionsAreNotReplaced(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		release := make(chan struct{})
		engine := startEngine(t, n, func(w http.ResponseWriter, r *http.Request) {
			writeChunk(w, r.Header.Get("X-Request-Id"), "An ")
			<-release
			writeEnd(w, r.Header.Get("X-Request-Id"), 1)
		})
		s := testSettings()
		s.MaxConnections = 1
		h := startHost(t, n, testPolicy(t, []string{engine.address}, nil), s)
		answers := make(chan string, connectionsPerRequest+1)
		for n := range cap(answers) {
			go func() { answers <- h.send(t, post("/v1/chat/completions", chatBody(true))) }()
			for engine.count() < min(n+1, connectionsPerRequest) {
				time.Sleep(time.Millisecond)
			}
		}
		time.Sleep(minIdleTime + 3*slotPollInterval)
		if n := engine.count(); n != connectionsPerRequest {
			t.Errorf("%d requests are in progress on %d connections", n, connectionsPerRequest)
		}
		close(release)
		for range cap(answers) {
			if answer := <-answers; !strings.Contains(answer, "[DONE]") {
				t.Errorf("answer %q", answer)
			}
		}
	})
}

// admissionOf returns an admission and a function that makes a request arrive with an
// organisation, a tier rank and a size in bytes. The id of the request shows whether it
// was displaced or refused.
func admissionOf(maxBytes int) (*admission, func(organisation string, rank, bytes int) *request) {
	a := newAdmission(maxBytes, 100)
	return a, func(organisation string, rank, bytes int) *request {
		q := &request{caller: policy.Caller{Organisation: organisation}, tier: policy.Tier{Rank: rank}}
		q.policy = &policy.Policy{Tiers: []policy.Tier{{Rank: 0}, {Rank: 1}}}
		q.openEndWait()
		q.cancel = func(error) { q.id = "displaced" }
		if a.reserve(q, bytes) != nil {
			q.id = "refused"
		}
		return q
	}
}

// TestAdmissionDisplacesInShedOrder checks the shed order by tier, organisation and
// age.
func TestAdmissionDisplacesInShedOrder(t *testing.T) {
	_, arrive := admissionOf(100)
	brief := arrive("engravers", 0, 20)
	large := arrive("volunteers", 1, 30)
	larger := arrive("volunteers", 1, 30)
	small := arrive("shop", 1, 20)
	caption := arrive("shop", 1, 20)
	if larger.id != "displaced" || caption.id != "" {
		t.Errorf("a caption displaced %q and was %q; want the newest of the largest organisation", larger.id, caption.id)
	}
	newBrief := arrive("librarians", 0, 80)
	if newBrief.id != "" || large.id != "displaced" || small.id != "displaced" || brief.id != "" {
		t.Errorf("a brief was %q; captions %q %q, other brief %q", newBrief.id, large.id, small.id, brief.id)
	}
	if late := arrive("shop", 1, 1); late.id != "refused" {
		t.Errorf("a caption among briefs was %q, want it refused", late.id)
	}
}

// TestAdmissionEndsWaitBeforeDisplacing checks that the wait of a request above the
// lowest tier is ended before it is displaced, that the number of such requests is
// limited to a share of the bounds, and that the bounds hold again afterwards.
func TestAdmissionEndsWaitBeforeDisplacing(t *testing.T) {
	a, arrive := admissionOf(100)
	first := arrive("engravers", 0, 90)
	second, third := arrive("engravers", 0, 12), arrive("engravers", 0, 13)
	for _, q := range []*request{second, third} {
		if q.id != "" || !closed(q.endWait) {
			t.Errorf("a brief beyond the bounds was %q, its wait ended: %t", q.id, closed(q.endWait))
		}
	}
	if fourth := arrive("engravers", 0, 20); fourth.id != "refused" {
		t.Errorf("a brief beyond the limit of ending requests was %q, want it refused", fourth.id)
	}
	if caption := arrive("shop", 1, 20); caption.id != "refused" {
		t.Errorf("a caption among briefs was %q, want it refused", caption.id)
	}
	if closed(first.endWait) || a.queued != (usage{1, 90}) || a.ending != (usage{2, 25}) {
		t.Errorf("queued %v, ending %v, the wait of the first ended: %t", a.queued, a.ending, closed(first.endWait))
	}
	for _, q := range []*request{first, second, third} {
		if !a.withdraw(q) {
			t.Error("a brief was displaced")
		}
	}
	if a.queued != (usage{}) || a.ending != (usage{}) {
		t.Errorf("queued %v, ending %v after all requests were released", a.queued, a.ending)
	}
}

// closed reports whether a channel is closed.
func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestAdmissionReleasesMemory checks that resized and released requests free their
// bytes for others.
func TestAdmissionReleasesMemory(t *testing.T) {
	a, arrive := admissionOf(100)
	first := arrive("engravers", 0, 100)
	a.resize(first, 10)
	second := arrive("engravers", 0, 90)
	if second.id != "" {
		t.Errorf("second was %q", second.id)
	}
	if !a.withdraw(first) || a.withdraw(first) {
		t.Error("a request was not released exactly once")
	}
	if third := arrive("engravers", 0, 10); third.id != "" || a.queued.bytes != 100 {
		t.Errorf("third was %q, %d bytes held", third.id, a.queued.bytes)
	}
}

// TestRunningRequestsHoldTheirMemory checks that the body of a request counts from its
// arrival to its end, and that it displaces only requests that wait.
func TestRunningRequestsHoldTheirMemory(t *testing.T) {
	a, arrive := admissionOf(100)
	running := arrive("engravers", 1, 60)
	if !a.start(running) || a.start(running) {
		t.Error("a request was not started exactly once")
	}
	waiting := arrive("engravers", 1, 40)
	if waiting.id != "" {
		t.Errorf("a request within the bound was %q", waiting.id)
	}
	if late := arrive("engravers", 1, 1); late.id != "refused" {
		t.Errorf("a request beyond the bound was %q, want it refused", late.id)
	}
	if brief := arrive("engravers", 0, 40); brief.id != "" || waiting.id != "displaced" || running.id != "" {
		t.Errorf("a brief was %q; the waiting caption %q, the running one %q", brief.id, waiting.id, running.id)
	}
	a.release(running)
	if next := arrive("engravers", 1, 60); next.id != "" || a.runningBytes != 0 {
		t.Errorf("after the end, a request was %q, %d bytes are held", next.id, a.runningBytes)
	}
}

// TestBriefDisplacesCaptions checks that a brief is served although waiting captions
// fill the memory, and that displaced captions are refused as not run.
func TestBriefDisplacesCaptions(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		engine := startEngine(t, n, answerWhole)
		s := testSettings()
		s.MaxMemoryBytes = 8 << 10
		h := startHost(t, n, testPolicy(t, []string{engine.address}, nil), s)
		h.scheduler.holdTier(1)
		long := strings.Replace(chatBody(false), "Draft", strings.Repeat("x", 3<<10), 1)
		answers := make(chan string, 2)
		for range cap(answers) {
			go func() { answers <- h.send(t, post("/v1/chat/completions", long, "Mimosa-Tier: caption")) }()
		}
		for h.scheduler.requestCount() < cap(answers) {
			time.Sleep(time.Millisecond)
		}
		if answer := h.send(t, post("/v1/chat/completions", long, "Mimosa-Tier: brief")); !strings.HasPrefix(answer, "HTTP/1.1 200 ") {
			t.Errorf("brief: %q", answer)
		}
		if answer := <-answers; !strings.HasPrefix(answer, "HTTP/1.1 503 ") || !strings.Contains(answer, `"code":"shed"`) || !strings.Contains(answer, "Mimosa-Verdict: not_run") {
			t.Errorf("displaced caption: %q", answer)
		}
		h.front.CancelAll()
		if answer := <-answers; !strings.Contains(answer, `"code":"stopping"`) {
			t.Errorf("other caption: %q", answer)
		}
	})
}

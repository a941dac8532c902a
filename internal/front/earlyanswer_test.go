package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mimosafront/internal/memnet"
)

// longBody is a body that a server must read before all of it can be written.
var longBody = strings.Repeat("long body ", 30_000)

// readFirst is the number of bytes of a long body that a server reads before it pauses.
const readFirst = 1 << 10

// pausingServer reads the start of each long body, writes an answer or nothing, and reads
// on after a pause. It answers requests with short bodies as soon as they are in.
type pausingServer struct {
	t     *testing.T
	pause time.Duration
	// early returns the bytes that are written before the pause, given a request's id.
	early func(id string) string

	mu sync.Mutex
	// whole counts the long bodies that arrived whole, short the other requests.
	whole, short int
}

// start starts the server and returns its address.
func (s *pausingServer) start(n network) string {
	s.t.Helper()
	listener := listen(s.t, n)
	s.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (s *pausingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Id")
		if r.ContentLength != int64(len(longBody)) {
			_, _ = io.Copy(io.Discard, r.Body)
			s.count(&s.short)
			_, _ = io.WriteString(conn, keptAnswer("200 OK", id, answerTo(id)))
			continue
		}
		start := make([]byte, readFirst)
		if _, err := io.ReadFull(r.Body, start); err != nil {
			return
		}
		early := s.early(id)
		_, _ = io.WriteString(conn, early)
		time.Sleep(s.pause)
		rest, err := io.ReadAll(r.Body)
		if got := string(start) + string(rest); !strings.HasPrefix(longBody, got) {
			s.t.Errorf("the body of %s goes on with other bytes: ... %.120q", id, got[commonPrefix(got, longBody):])
			return
		}
		if err != nil {
			return
		}
		s.count(&s.whole)
		if early == "" {
			_, _ = io.WriteString(conn, keptAnswer("200 OK", id, answerTo(id)))
		}
	}
}

// answerTo returns the body of the answer to a request, which is also a stream.
func answerTo(id string) string { return "id: 1\ndata: answer to " + id + "\n\n" }

// commonPrefix returns the length of the longest common prefix of two texts.
func commonPrefix(a, b string) int {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	return min(len(a), len(b))
}

func (s *pausingServer) count(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

// wholeBodies returns the number of long bodies that arrived whole.
func (s *pausingServer) wholeBodies() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.whole
}

// keptAnswer returns an answer after which the server keeps the connection.
func keptAnswer(status, id, body string, headers ...string) string {
	lines := append([]string{"HTTP/1.1 " + status, "X-Id: " + id, "Keep-Alive: timeout=10"}, headers...)
	return strings.Join(lines, "\r\n") + fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// chunkedAnswer returns a keptAnswer in chunked encoding.
func chunkedAnswer(status, id, body string, headers ...string) string {
	lines := append([]string{"HTTP/1.1 " + status, "X-Id: " + id, "Keep-Alive: timeout=10", "Transfer-Encoding: chunked"}, headers...)
	return strings.Join(lines, "\r\n") + fmt.Sprintf("\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// TestNextRequestIsNotWrittenIntoAnUnfinishedBody guards against a server that answers
// before it has read a long body and gets the next request where the rest is due.
func TestNextRequestIsNotWrittenIntoAnUnfinishedBody(t *testing.T) {
	const notRun = "X-Not-Run: 1"
	for name, early := range map[string]func(id string) string{
		"not run":             func(id string) string { return keptAnswer("503 Service Unavailable", id, "", notRun) },
		"not run, with body":  func(id string) string { return keptAnswer("503 Service Unavailable", id, "full", notRun) },
		"not run, chunked":    func(id string) string { return chunkedAnswer("503 Service Unavailable", id, "full", notRun) },
		"wrong server":        func(id string) string { return keptAnswer("421 Misdirected Request", id, "") },
		"unavailable":         func(id string) string { return keptAnswer("503 Service Unavailable", id, "full") },
		"failed":              func(id string) string { return keptAnswer("500 Internal Server Error", id, "failed") },
		"failed, chunked":     func(id string) string { return chunkedAnswer("500 Internal Server Error", id, "failed") },
		"too large":           func(id string) string { return keptAnswer("413 Content Too Large", id, "at most 1 KiB") },
		"not found, chunked":  func(id string) string { return chunkedAnswer("404 Not Found", id, "no such coin") },
		"success":             func(id string) string { return keptAnswer("200 OK", id, events(1, 2)) },
		"success, chunked":    func(id string) string { return chunkedAnswer("200 OK", id, events(1, 2)) },
		"events out of order": func(id string) string { return keptAnswer("200 OK", id, events(2, 3)) },
		"no content":          func(id string) string { return "HTTP/1.1 204 No Content\r\nX-Id: " + id + "\r\n\r\n" },
		"after a hint": func(id string) string {
			return "HTTP/1.1 103 Early Hints\r\n\r\n" + keptAnswer("200 OK", id, events(1, 2))
		},
		"after another's answer": func(id string) string {
			return keptAnswer("200 OK", "other", "other") + keptAnswer("200 OK", id, events(1, 2))
		},
	} {
		for _, path := range []string{"/handovers/7", "/lookups/7", "/drafts/7", "/stories/7"} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := memnet.New()
					first := &pausingServer{t: t, pause: 1500 * time.Millisecond, early: early}
					second := &pausingServer{t: t, pause: 1500 * time.Millisecond, early: early}
					h := startRoutes(t, n, first.start(n), second.start(n))
					var callers sync.WaitGroup
					callers.Go(func() { _, _, _ = h.call(t, http.MethodPost, path, longBody, "X-Id: long") })
					time.Sleep(first.pause) // until the server reads what lies in the buffers
					for i := range 10 {
						time.Sleep(100 * time.Millisecond)
						callers.Go(func() {
							id := fmt.Sprintf("short-%d", i)
							_, body, err := h.call(t, http.MethodPost, path, "short", "X-Id: "+id)
							if err != nil || body != answerTo(id) {
								t.Errorf("%s got %q, %v", id, body, err)
							}
						})
					}
					callers.Wait()
					time.Sleep(10 * time.Second) // the servers read on, and the rest of a body is given up
					h.front.RetainConnections(nil)
				})
			})
		}
	}
}

// TestPausingServerGetsTheWholeBody guards against a sound server that pauses while it
// reads a long body and never gets the rest.
func TestPausingServerGetsTheWholeBody(t *testing.T) {
	for path, pause := range map[string]time.Duration{
		"/handovers/7": 900 * time.Millisecond, "/lookups/7": 900 * time.Millisecond,
		"/drafts/7": 4500 * time.Millisecond, "/stories/7": 4500 * time.Millisecond,
	} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New()
				server := &pausingServer{t: t, pause: pause, early: func(string) string { return "" }}
				h := startRoutes(t, n, server.start(n))
				response, _, err := h.call(t, http.MethodPost, path, longBody)
				if err != nil || response.StatusCode != http.StatusOK || server.wholeBodies() != 1 {
					t.Errorf("response %v, %v; the server got %d whole bodies, want 1", response, err, server.wholeBodies())
				}
				h.front.RetainConnections(nil)
			})
		})
	}
}

// TestEarlySuccessStillGetsTheRest guards against a body that is cut short although the
// server has answered with a success and reads on.
func TestEarlySuccessStillGetsTheRest(t *testing.T) {
	for _, path := range []string{"/handovers/7", "/drafts/7"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New()
				server := &pausingServer{t: t, pause: 1500 * time.Millisecond, early: func(id string) string { return keptAnswer("200 OK", id, events(1, 2)) }}
				h := startRoutes(t, n, server.start(n))
				began := time.Now()
				_, body, err := h.call(t, http.MethodPost, path, longBody)
				if took := time.Since(began); err != nil || body != events(1, 2) || took > 500*time.Millisecond {
					t.Errorf("got %q, %v after %s", body, err, took)
				}
				time.Sleep(2 * time.Second)
				if server.wholeBodies() != 1 {
					t.Error("the server didn't get the rest of the body")
				}
				h.front.RetainConnections(nil)
			})
		})
	}
}

// TestServerThatStopsReadingLosesItsRequest guards against a request that may be repeated
// and waits until its deadline for a server that was lost while it read the body.
func TestServerThatStopsReadingLosesItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		listener := listen(t, n)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = listener.Close()
			t.Cleanup(func() { _ = conn.Close() })
			_, _ = io.ReadFull(conn, make([]byte, readFirst))
		}()
		second, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 2) })
		h := startRoutes(t, n, listener.Addr().String(), address)
		response, body, err := h.call(t, http.MethodPost, "/stories/7", longBody)
		if err != nil || body != events(1, 2) {
			t.Errorf("response %v with %q, %v", response, body, err)
		}
		if len(second.requests()) != 1 || second.bodies[0] != longBody {
			t.Error("the second server didn't get the whole request")
		}
	})
}

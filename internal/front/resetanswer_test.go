package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mimosafront/internal/memnet"
	"mimosafront/internal/settings"
)

// startResettingServer starts a server that reads the start of each long body, writes the
// same bytes and breaks the connection. It answers requests with short bodies whole.
func startResettingServer(t *testing.T, n network, part string) string {
	t.Helper()
	listener := listen(t, n)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return // a probe
				}
				_, _ = io.ReadFull(r.Body, make([]byte, readFirst))
				_, _ = io.WriteString(conn, part)
				if tcp, ok := conn.(*net.TCPConn); ok {
					time.Sleep(20 * time.Millisecond) // until the part is read
					_ = tcp.SetLinger(0)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// earlyParts are answers that break off after a part of the body.
func earlyParts() map[string]string {
	parts := map[string]string{}
	for _, f := range framings {
		for status, body := range map[string]string{
			"200 OK": events(1, 2), "201 Created": "created", "413 Content Too Large": "at most", "404 Not Found": "no such",
		} {
			parts[string(f)+", "+status] = f.brokenOff(status, body, 99)
			parts[string(f)+", without a body, "+status] = f.brokenOff(status, "", 99)
		}
	}
	return parts
}

// TestPartOfAnEarlyAnswerIsNoAnswer guards against a server that answers a long request at
// once, sends a part of its body and resets the connection while the request is still being
// written: the write takes the error of the connection, and the read sees a regular end.
func TestPartOfAnEarlyAnswerIsNoAnswer(t *testing.T) {
	for name, part := range earlyParts() {
		for _, path := range []string{"/handovers/7", "/lookups/7", "/drafts/7", "/stories/7"} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := memnet.New()
					h := startRoutes(t, n, startResettingServer(t, n, part), startResettingServer(t, n, part))
					response, body, err := h.call(t, http.MethodPost, path, longBody)
					if err == nil && response.StatusCode < http.StatusInternalServerError {
						t.Errorf("status %d with %q as a complete answer", response.StatusCode, body)
					}
					h.front.RetainConnections(nil)
				})
			})
		}
	}
}

// TestPartOfAnEarlyAnswerIsReplaced checks that the next server's answer takes the place of
// such a part where the request may be sent again, and goes on with a stream.
func TestPartOfAnEarlyAnswerIsReplaced(t *testing.T) {
	for path, part := range map[string]string{"/lookups/7": "part", "/stories/7": events(1, 2)} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New()
				second, address := startRouteServer(t, n, func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get("X-Last-Event") == "2" {
						writeEvents(w, 3, 4)
						return
					}
					_, _ = io.WriteString(w, "whole")
				})
				h := startRoutes(t, n, startResettingServer(t, n, byClose.head("200 OK", 0)+part), address)
				_, body, err := h.call(t, http.MethodPost, path, longBody)
				if want := map[string]string{"/lookups/7": "whole", "/stories/7": events(1, 4)}[path]; err != nil || body != want {
					t.Errorf("got %q, %v; want %q", body, err, want)
				}
				if len(second.requests()) != 1 || second.bodies[0] != longBody {
					t.Error("the second server didn't get the whole request")
				}
			})
		})
	}
}

// TestPartOfAnEarlyAnswerOverTCP is TestPartOfAnEarlyAnswerIsNoAnswer with the resets of a
// kernel, several times, since it is a race which call gets the error.
func TestPartOfAnEarlyAnswerOverTCP(t *testing.T) {
	body := strings.Repeat(longBody, 20) // above what the sockets buffer
	for _, path := range []string{"/handovers/7", "/drafts/7"} {
		n := &loopback{}
		part := byClose.brokenOff("200 OK", events(1, 2), 99)
		h := startRoutesWith(t, n, func(s *settings.Front) { s.MaxBodyBytes, s.MaxMemoryBytes = 16<<20, 256<<20 },
			startResettingServer(t, n, part))
		for range 10 {
			response, text, err := h.call(t, http.MethodPost, path, body)
			if err == nil && response.StatusCode < http.StatusInternalServerError {
				t.Errorf("%s: status %d with %q as a complete answer", path, response.StatusCode, text)
			}
		}
	}
}

// TestAnswerWithoutLengthIsWholeOnceTheRequestIs checks that a sound server which reads a
// long request and answers without a length is still believed.
func TestAnswerWithoutLengthIsWholeOnceTheRequestIs(t *testing.T) {
	for _, path := range []string{"/handovers/7", "/lookups/7", "/drafts/7", "/stories/7"} {
		synctest.Test(t, func(t *testing.T) {
			n := memnet.New()
			h := startRoutes(t, n, startRawServer(t, n, byClose.whole("200 OK", events(1, 2))))
			response, body, err := h.call(t, http.MethodPost, path, longBody)
			if err != nil || response.StatusCode != http.StatusOK || body != events(1, 2) {
				t.Errorf("%s: got %v with %q, %v", path, response, body, err)
			}
		})
	}
}

// TestImpossibleStatusIsNoAnswer guards against a status that no answer has, which a server
// in trouble sends: it must not reach the client.
func TestImpossibleStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "000 OK", "099 Odd", "100 Continue", "101 Switching Protocols", "199 Odd", "600 Odd", "999 Odd"} {
		for _, f := range framings {
			for _, path := range []string{"/handovers/7", "/lookups/7", "/drafts/7", "/stories/7"} {
				t.Run(fmt.Sprint(status, f, path), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						n := memnet.New()
						odd := startRawServer(t, n, f.whole(status, events(1, 2)))
						h := startRoutes(t, n, odd, odd)
						began := time.Now()
						response, body, err := h.call(t, http.MethodPost, path, "short")
						if err != nil || response.StatusCode < http.StatusInternalServerError || response.StatusCode > 599 || body != "" {
							t.Errorf("got %v with %q, %v; want an error of the front", response, body, err)
						}
						if took := time.Since(began); took > 500*time.Millisecond {
							t.Errorf("the answer took %s", took)
						}
					})
				})
			}
		}
	}
}

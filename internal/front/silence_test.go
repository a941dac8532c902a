package front

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"mimosafront/internal/memnet"
	"mimosafront/internal/message"
)

// silentServer sends two events, then sends nothing more and accepts no new connection.
func silentServer(t *testing.T, n network) string {
	t.Helper()
	listener := listen(t, n)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_ = listener.Close()
		t.Cleanup(func() { _ = conn.Close() })
		buffer := make([]byte, 4096)
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		writeTwoEvents(conn)
	}()
	return listener.Addr().String()
}

// writeTwoEvents sends the header of a stream and its first two events.
func writeTwoEvents(conn net.Conn) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nConnection: close\r\n\r\n"+events(1, 2))
}

// A server falls silent in the middle of a resumable stream. The stream is resumed on
// another server before its client gives up, which takes 2 s.
func TestStreamOfSilentServerResumesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		silent := silentServer(t, n)
		_, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 3, 4) })
		h := startRoutes(t, n, silent, address)
		began := time.Now()
		_, body, err := h.call(t, "POST", "/stories/7", "")
		if err != nil || body != events(1, 4) {
			t.Fatalf("got %q, %v", body, err)
		}
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("the stream took %s, clients give up after 2 s", took)
		}
		if outcome := h.scheduler.lease(0).outcome(); outcome != message.ReleaseOutcomeConnectFailed {
			t.Errorf("the lease of the silent server ended with the outcome %s", outcome)
		}
	})
}

// A request that may run only once keeps waiting for a silent server until its timeout.
// Its lease is released meanwhile, so that the server is given no more work.
func TestSilentServerLosesItsGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		h := startRoutes(t, n, silentServer(t, n))
		go func() {
			time.Sleep(3 * time.Second)
			if outcome := h.scheduler.lease(0).outcome(); outcome != message.ReleaseOutcomeConnectFailed {
				t.Errorf("after 3 s of silence the lease had the outcome %q", outcome)
			}
		}()
		began := time.Now()
		_, body, err := h.call(t, "POST", "/drafts/7", "")
		if err == nil || body != events(1, 2) {
			t.Fatalf("got %q, %v", body, err)
		}
		if took := time.Since(began); took < 5*time.Second {
			t.Errorf("the request ended after %s, its timeout is 5 s", took)
		}
	})
}

// A slow server that still accepts connections keeps its requests.
func TestSlowServerKeepsItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		slow, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(3 * time.Second)
			writeEvents(w, 1, 1)
		})
		other, otherAddress := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 1) })
		h := startRoutes(t, n, address, otherAddress)
		if _, body, err := h.call(t, "POST", "/stories/7", ""); err != nil || body != events(1, 1) {
			t.Fatalf("got %q, %v", body, err)
		}
		if len(slow.requests()) != 1 || len(other.requests()) != 0 {
			t.Errorf("the slow server got %d requests, the other %d; want 1 and 0", len(slow.requests()), len(other.requests()))
		}
	})
}

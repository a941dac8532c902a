package front

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"mimosafront/internal/memnet"
)

// endlessLimit is far above what a front must read of an answer that makes no sense, and
// far below what it can read before the deadline of a request.
const endlessLimit = 64 << 20

// writeEndlessly writes a block over and over on the connection of a request until it is
// closed, and counts the bytes.
func writeEndlessly(w http.ResponseWriter, head string, block []byte, sent *atomic.Int64) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Minute))
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	for sent.Load() < endlessLimit {
		n, err := conn.Write(block)
		if sent.Add(int64(n)); err != nil {
			return
		}
	}
}

// TestEndlessBytesAreCutOff guards against a server whose answer never ends, in its
// head, its body, a stream or a refusal: the front must close the connection soon, pass
// none of the bytes on and hold up no other request.
func TestEndlessBytesAreCutOff(t *testing.T) {
	const (
		head       = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\n"
		streamHead = head + "Content-Type: text/event-stream\r\n\r\n"
		refusal    = "HTTP/1.1 503 Service Unavailable\r\nX-Id: id-1\r\nX-Not-Run: 1\r\n"
		foreign    = "HTTP/1.1 200 OK\r\nX-Id: another\r\n"
	)
	junk := bytes.Repeat([]byte("x"), 16<<10)
	for _, c := range []struct {
		name, method, path, head string
		block                    []byte
	}{
		{"header", http.MethodPost, "/handovers/1", head + "X-Trace: ", junk},
		{"header lines", http.MethodPost, "/handovers/1", head, []byte("X-Trace: x\r\n")},
		{"informational answers", http.MethodPost, "/handovers/1", "", []byte("HTTP/1.1 103 Early Hints\r\n\r\n")},
		{"body without a length", http.MethodPost, "/handovers/1", head + "\r\n", junk},
		{"chunked body", http.MethodPost, "/handovers/1", head + "Transfer-Encoding: chunked\r\n\r\n", append(append([]byte("4000\r\n"), junk...), "\r\n"...)},
		{"body of a refusal", http.MethodPost, "/handovers/1", refusal + "\r\n", junk},
		{"chunked body of a refusal", http.MethodPost, "/handovers/1", refusal + "Transfer-Encoding: chunked\r\n\r\n", append(append([]byte("4000\r\n"), junk...), "\r\n"...)},
		{"body of an answer to another request", http.MethodPost, "/handovers/1", foreign + "Content-Length: 100000000\r\n\r\n", junk},
		{"line of a stream", http.MethodPost, "/drafts/1", streamHead, junk},
		{"lines of a stream", http.MethodPost, "/drafts/1", streamHead, []byte("data: x\n")},
		{"empty lines of a stream", http.MethodPost, "/drafts/1", streamHead, bytes.Repeat([]byte("\n"), 16<<10)},
		{"comments of a stream", http.MethodPost, "/drafts/1", streamHead, bytes.Repeat([]byte(": here\n\n"), 2<<10)},
		{"events without a number", http.MethodPost, "/drafts/1", streamHead, bytes.Repeat([]byte("data: x\n\n"), 2<<10)},
	} {
		t.Run(c.name, func(t *testing.T) {
			memnet.Test(t, func(t *testing.T, n *memnet.Network) {
				var sent atomic.Int64
				_, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) {
					writeEndlessly(w, c.head, c.block, &sent)
				})
				h := startRoutes(t, n, address)
				began := time.Now()
				response, body, _ := h.call(t, c.method, c.path, "body")
				if took := time.Since(began); took > 500*time.Millisecond {
					t.Errorf("the request ended after %s, want it to end as soon as the bytes make no sense", took)
				}
				if len(body) > 0 || response != nil && response.StatusCode == http.StatusOK {
					t.Errorf("the caller got response %v with %d bytes, want an error", response, len(body))
				}
				if got := sent.Load(); got >= endlessLimit {
					t.Errorf("the front read %d bytes of the answer", got)
				}
			})
		})
	}
}

// TestRefusalWithoutItsBodyIsSentElsewhere guards against a refusal whose body never
// arrives: the request has not run and must not wait for the body until its deadline.
func TestRefusalWithoutItsBodyIsSentElsewhere(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		_, first := startRouteServer(t, n, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Not-Run", "1")
			w.Header().Set("Content-Length", "1000")
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		})
		second, address := startRouteServer(t, n, func(http.ResponseWriter, *http.Request) {})
		h := startRoutes(t, n, first, address)
		began := time.Now()
		response, _, err := h.call(t, http.MethodPost, "/handovers/1", "body")
		if err != nil || response.StatusCode != http.StatusOK || len(second.requests()) != 1 {
			t.Errorf("response %v, error %v, want the second server's answer", response, err)
		}
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Errorf("the request was answered after %s", took)
		}
	})
}

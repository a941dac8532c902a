package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mimosafront/internal/memnet"
)

// copyingServer answers on kept connections and writes the answer to each request once
// more, when the next request has come.
func copyingServer(conn net.Conn, f framing) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	last := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Id")
		body := "answer to " + id
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=10\r\n", id)
		if f == byChunks {
			answer += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		} else {
			answer += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		}
		if _, err := io.WriteString(conn, last+answer); err != nil {
			return
		}
		last = answer
	}
}

// TestLateSecondCopyIsNotTheNextAnswer guards against a caller that gets the answer to
// another request, which a server wrote a second time on a connection in use again.
func TestLateSecondCopyIsNotTheNextAnswer(t *testing.T) {
	for _, f := range []framing{byLength, byChunks} {
		for _, path := range []string{"/handovers/7", "/lookups/7"} {
			t.Run(path+" "+string(f), func(t *testing.T) {
				memnet.Test(t, func(t *testing.T, n *memnet.Network) {
					listener := listen(t, n)
					t.Cleanup(func() { _ = listener.Close() })
					go func() {
						for {
							conn, err := listener.Accept()
							if err != nil {
								return
							}
							go copyingServer(conn, f)
						}
					}()
					h := startRoutes(t, n, listener.Addr().String())
					for i := range 6 {
						id := fmt.Sprintf("id-%d", i)
						_, body, err := h.call(t, http.MethodPost, path, "body", "X-Id: "+id)
						if err != nil || body != "answer to "+id {
							t.Errorf("request %s: got %q, %v", id, body, err)
						}
						time.Sleep(10 * time.Millisecond)
					}
					h.front.RetainConnections(nil)
				})
			})
		}
	}
}

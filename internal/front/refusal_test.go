package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"mimosafront/internal/memnet"
)

// repeatingServer refuses the first request on each connection and runs the later ones.
// Before the answer to each of these it writes the refusal once more.
type repeatingServer struct {
	mu sync.Mutex
	// run counts the requests that ran, by id.
	run map[string]int
}

func (s *repeatingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	refusal := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("X-Id")
		if refusal == "" {
			refusal = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Id: %s\r\nX-Not-Run: 1\r\nKeep-Alive: timeout=30\r\nContent-Length: 0\r\n\r\n", id)
			_, _ = io.WriteString(conn, refusal)
			continue
		}
		s.mu.Lock()
		s.run[id]++
		s.mu.Unlock()
		_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 3\r\n\r\nran", refusal, id)
	}
}

// TestEarlierRefusalIsNotTakenForTheAnswer guards against a server that writes an earlier
// refusal once more on a kept connection. The client must not be told that a request has
// not run which the server has run, also if the client sends the refused request again
// under its id.
func TestEarlierRefusalIsNotTakenForTheAnswer(t *testing.T) {
	for _, c := range []struct{ name, second string }{{"another request", "id-2"}, {"the same request again", "id-1"}} {
		t.Run(c.name, func(t *testing.T) {
			memnet.Test(t, func(t *testing.T, n *memnet.Network) {
				s := &repeatingServer{run: map[string]int{}}
				listener := listen(t, n)
				var serving sync.WaitGroup
				serving.Go(func() {
					for {
						conn, err := listener.Accept()
						if err != nil {
							return
						}
						serving.Go(func() { s.serve(conn) })
					}
				})
				h := startRoutes(t, n, listener.Addr().String())
				for i, id := range []string{"id-1", c.second} {
					response, body, err := h.call(t, http.MethodPost, "/handovers/1", "body", "X-Id: "+id)
					if err != nil {
						t.Fatal(err)
					}
					s.mu.Lock()
					ran := s.run[id]
					s.mu.Unlock()
					refused := response.StatusCode == http.StatusServiceUnavailable
					if refused && ran > 0 || !refused && body != "ran" || ran > 1 {
						t.Errorf("request %d, %s: status %d, body %q, ran %d times", i+1, id, response.StatusCode, body, ran)
					}
				}
				h.front.RetainConnections(nil)
				_ = listener.Close()
				serving.Wait()
			})
		})
	}
}

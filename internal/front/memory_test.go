package front

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"mimosafront/internal/heaptest"
	"mimosafront/internal/memnet"
	"mimosafront/internal/settings"
)

// TestHeldAnswersShareBoundedMemory guards against a host that runs out of memory, with
// the requests of other callers, because many servers send what is no answer and then
// nothing more, or because many callers don't read their answers.
func TestHeldAnswersShareBoundedMemory(t *testing.T) {
	line := strings.Repeat("x", 1<<20-1<<10)
	token := fmt.Sprintf("data: {\"id\":\"ID\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", strings.Repeat("t", 64<<10))
	for _, c := range []struct {
		name, path string
		callers    int
		// answer is what a server sends before it falls silent, given the request's id.
		answer func(w io.Writer, id string)
		// unread callers don't read their answers.
		unread bool
	}{
		{name: "event of a stream", path: "/briefs/7", callers: 160, answer: func(w io.Writer, _ string) { _, _ = io.WriteString(w, "data: "+line) }},
		{name: "event of a stream that goes on", path: "/briefs/7", callers: 160, answer: func(w io.Writer, _ string) { _, _ = io.WriteString(w, events(1, 2)+"data: "+line) }},
		{name: "chunk of an engine", path: "stream", callers: 160, answer: func(w io.Writer, _ string) { _, _ = io.WriteString(w, "data: "+line) }},
		{name: "comments of an engine", path: "stream", callers: 160, answer: func(w io.Writer, _ string) { _, _ = io.WriteString(w, ": "+line+line) }},
		{name: "resumed stream of an engine", path: "resumed", callers: 160, answer: func(w io.Writer, _ string) { _, _ = io.WriteString(w, "data: "+line) }},
		{name: "whole answer of an engine", path: "whole", callers: 20, answer: func(w io.Writer, id string) {
			for range 200 {
				_, _ = io.WriteString(w, strings.Replace(token, "ID", id, 1))
			}
		}},
		{name: "body", path: "/orders/7", callers: 20, answer: func(w io.Writer, _ string) {
			for range 7 {
				_, _ = io.WriteString(w, line)
			}
		}},
		{name: "body that is not read", path: "/orders/7", callers: 20, unread: true, answer: func(w io.Writer, _ string) {
			_, _ = io.WriteString(w, line)
			_, _ = io.WriteString(w, line)
			_, _ = io.WriteString(w, line)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			memnet.Test(t, func(t *testing.T, n *memnet.Network) {
				silent := make(chan struct{})
				answer := func(w http.ResponseWriter, r *http.Request) {
					id := r.Header.Get("X-Request-Id")
					c.answer(w, id)
					_ = http.NewResponseController(w).Flush()
					if c.unread {
						return
					}
					select {
					case <-silent:
					case <-r.Context().Done():
					}
				}
				var h *host
				if strings.HasPrefix(c.path, "/") {
					_, address := startRouteServer(t, n, answer)
					h = startRoutes(t, n, address)
				} else {
					e := startEngine(t, n, answer)
					if c.path == "resumed" {
						e = startEngine(t, n, func(w http.ResponseWriter, r *http.Request) {
							writeChunk(w, r.Header.Get("X-Request-Id"), "An ")
							panic(http.ErrAbortHandler)
						})
						e.resume = answer
					}
					h = startHost(t, n, testPolicy(t, []string{e.address}, nil), memorySettings())
				}
				before := heaptest.InUse()
				var callers sync.WaitGroup
				for i := range c.callers {
					callers.Go(func() {
						conn := h.dial(t)
						defer conn.Close()
						_, _ = io.WriteString(conn, memoryRequest(c.path, i))
						if c.unread {
							<-silent
							return
						}
						_, _ = io.Copy(io.Discard, conn)
					})
				}
				time.Sleep(time.Second)
				if held := heaptest.InUse() - before; held > heaptest.Limit {
					t.Errorf("%d bytes are held, want at most %d", held, heaptest.Limit)
				}
				close(silent)
				callers.Wait()
			})
		})
	}
}

// memorySettings are settings for callers that wait for as long as a test lasts.
func memorySettings() settings.Front {
	s := testSettings()
	s.StreamIdleTimeoutMs, s.MaxConnections = 60_000, 256
	return s
}

// memoryRequest returns a request on a route, or for an engine's answer as a stream or as
// a whole.
func memoryRequest(path string, n int) string {
	if !strings.HasPrefix(path, "/") {
		return post("/v1/chat/completions", chatBody(path != "whole"))
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: coins.example\r\nX-Key: %s\r\nX-Id: id-%d\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", path, testKey, n)
}

// TestLongBodiesKeepToTheirMemory guards against a host that runs out of memory in a burst
// of requests with long bodies, because those that run aren't counted.
func TestLongBodiesKeepToTheirMemory(t *testing.T) {
	const size, callers, fit = 4 << 20, 41, 16
	head := fmt.Sprintf("POST /orders/7 HTTP/1.1\r\nHost: coins.example\r\nX-Key: %s\r\nConnection: close\r\nContent-Length: %d\r\n", testKey, size)
	body := strings.Repeat("x", size)
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		release := make(chan struct{})
		_, address := startRouteServer(t, n, func(http.ResponseWriter, *http.Request) { <-release })
		h := startRoutesWith(t, n, func(s *settings.Front) { s.MaxBodyBytes, s.MaxMemoryBytes = size, fit*size }, address)
		statuses := make(chan int, callers)
		for i := range callers {
			go func() {
				conn := h.dial(t)
				go func() { _, _ = io.WriteString(conn, head+fmt.Sprintf("X-Id: id-%d\r\n\r\n", i)+body) }()
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Errorf("caller %d: %v", i, err)
					statuses <- 0
					return
				}
				statuses <- response.StatusCode
			}()
		}
		time.Sleep(time.Second)
		close(release)
		counts := map[int]int{}
		for range callers {
			counts[<-statuses]++
		}
		served := counts[http.StatusOK]
		if served < fit || served > fit*5/4 || counts[http.StatusServiceUnavailable] != callers-served {
			t.Errorf("got %v, want %d to %d served, those whose wait is ended included, and the others refused", counts, fit, fit*5/4)
		}
	})
}

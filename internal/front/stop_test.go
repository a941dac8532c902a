package front

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mimosafront/internal/memnet"
)

// Times of a planned stop, from the signal: until when new requests are accepted, and when
// those in progress are cut.
const (
	acceptTime = 2900 * time.Millisecond
	cutTime    = 7400 * time.Millisecond
)

// planStop stops the host as a daemon does.
func (h *host) planStop() {
	began := time.Now()
	h.front.Leave()
	time.Sleep(acceptTime)
	h.front.Stop(began.Add(cutTime))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(cutTime))
	defer cancel()
	if h.front.Drain(ctx) != nil {
		h.front.CancelAll()
	}
}

// sendSlowly sends a request whose body takes a time to arrive, and returns the status of
// the answer, or 0 if there is no complete one.
func (h *host) sendSlowly(t *testing.T, path, id string, bodyTime time.Duration) int {
	conn := h.dial(t)
	defer func() { _ = conn.Close() }()
	head := []string{"POST " + path + " HTTP/1.1", "Host: coins.example", "X-Key: " + testKey, "X-Id: " + id, "Content-Length: 20"}
	_, _ = io.WriteString(conn, strings.Join(head, "\r\n")+"\r\n\r\n")
	for range 20 {
		time.Sleep(bodyTime / 20)
		_, _ = io.WriteString(conn, "x")
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// TestSlowBodyIsNotSentToBeCut guards against a request that a stopping host accepted in
// time, whose body arrives late, and which then runs but is cut before its answer.
func TestSlowBodyIsNotSentToBeCut(t *testing.T) {
	for name, history := range map[string]int{"runs are known": 3, "no run is known": 0} {
		for _, path := range []string{"/orders/7", "/briefs/7"} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := memnet.New()
					server, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) {
						time.Sleep(3500 * time.Millisecond)
						writeEvents(w, 1, 2)
					})
					h := startRoutes(t, n, address)
					for range history {
						_, _, _ = h.call(t, http.MethodPost, path, "before the stop")
					}
					go h.planStop()
					before := len(server.requests())
					var mu sync.Mutex
					statuses := map[string]int{}
					var callers sync.WaitGroup
					for i := range 16 {
						callers.Go(func() {
							time.Sleep(time.Duration(i) * 180 * time.Millisecond)
							id := string(rune('a' + i))
							status := h.sendSlowly(t, path, id, 1800*time.Millisecond)
							mu.Lock()
							defer mu.Unlock()
							statuses[id] = status
						})
					}
					callers.Wait()
					var ran []string
					for _, r := range server.requests()[before:] {
						ran = append(ran, r.Header.Get("X-Id"))
					}
					served := 0
					for id, status := range statuses {
						switch {
						case status == http.StatusOK:
							served++
						case status != http.StatusServiceUnavailable || slices.Contains(ran, id):
							t.Errorf("request %s ended with status %d, sent to a server: %t", id, status, slices.Contains(ran, id))
						}
					}
					if history > 0 && served == 0 {
						t.Error("no request was served")
					}
					time.Sleep(cutTime) // the server ends
				})
			})
		}
	}
}

// TestWaitingRequestIsRefusedInTime guards against a request that waits for a server of a
// stopping host until it is cut, though it could no longer end in time: it is refused once
// that is so, and its caller can go elsewhere.
func TestWaitingRequestIsRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		_, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) { time.Sleep(2 * time.Second) })
		h := startRoutes(t, n, address)
		for range 2 {
			_, _, _ = h.call(t, http.MethodPost, "/orders/7", "before the stop")
		}
		h.scheduler.holdTier(0)
		began := time.Now()
		go h.planStop()
		response, _, err := h.call(t, http.MethodPost, "/orders/7", "waits")
		if err != nil || response.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("response %v, %v", response, err)
		}
		if took := time.Since(began); took < acceptTime || took > cutTime-2*time.Second {
			t.Errorf("refused after %s", took)
		}
	})
}

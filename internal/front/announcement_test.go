package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"mimosafront/internal/memnet"
	"mimosafront/internal/policy"
)

// TestNoRequestReachesAServerThatAnnouncedToLeave guards against requests to a server
// that has said in an answer that it is leaving, while its registration still says that
// it is ready.
func TestNoRequestReachesAServerThatAnnouncedToLeave(t *testing.T) {
	for _, c := range []struct {
		name, method, path string
		answer             http.HandlerFunc
	}{
		{"in an answer", http.MethodGet, "/lookups/1", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Leaving", "1")
		}},
		{"in a stream", http.MethodPost, "/drafts/1", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Leaving", "1")
			writeEvents(w, 1, 2)
		}},
		{"in a refusal", http.MethodPost, "/handovers/1", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Leaving", "1")
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		{"in an answer to another request", http.MethodGet, "/lookups/1", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Leaving", "1")
			w.Header().Set("X-Id", "another")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			memnet.Test(t, func(t *testing.T, n *memnet.Network) {
				leaving, address := startRouteServer(t, n, c.answer)
				h := startRoutes(t, n, address)
				_, _, _ = h.call(t, c.method, c.path, "body")
				if len(leaving.requests()) != 1 {
					t.Fatalf("%d requests reached the server before its announcement, want 1", len(leaving.requests()))
				}
				for range 3 {
					response, _, err := h.call(t, c.method, c.path, "body")
					if err != nil || response.StatusCode != http.StatusServiceUnavailable {
						t.Errorf("response %v, error %v, want status 503: no server is left", response, err)
					}
				}
				if got := len(leaving.requests()); got != 1 {
					t.Errorf("%d requests reached the server after it announced to leave", got-1)
				}
			})
		})
	}
}

// TestRequestOnItsWayIsNotSentToALeavingServer guards against a request whose grant was
// given, and whose connection is being opened, when its server announces to leave. It
// must be sent to another server, at no cost of an attempt or a retry.
func TestRequestOnItsWayIsNotSentToALeavingServer(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		first, firstAddress := startRouteServer(t, n, func(http.ResponseWriter, *http.Request) {})
		second, secondAddress := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "second") })
		h := startRoutes(t, n, firstAddress, secondAddress)
		h.front.retries = newRetryBudget(0, 0)
		h.front.relay.Dialer.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := n.DialContext(ctx, network, address)
			h.front.config.Announcements.MarkLeaving(time.Now(), policy.Server{Name: "r1"})
			return conn, err
		}
		response, body, err := h.call(t, http.MethodPost, "/handovers/1", "body")
		if err != nil || response.StatusCode != http.StatusOK || body != "second" {
			t.Errorf("response %v, body %q, error %v, want the second server's answer", response, body, err)
		}
		if len(first.requests()) != 0 || len(second.requests()) != 1 {
			t.Errorf("%d requests reached the leaving server and %d the other, want 0 and 1", len(first.requests()), len(second.requests()))
		}
	})
}

// TestServerThatAskedForAPauseGetsNoRequests guards against requests to a server that
// has turned one away with 503 and said how long it wants none from this host.
func TestServerThatAskedForAPauseGetsNoRequests(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		refuses := true
		busy, busyAddress := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) {
			if !refuses {
				return
			}
			w.Header().Set("X-Not-Run", "1")
			w.Header().Set("Retry-After", "2.5")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		other, otherAddress := startRouteServer(t, n, func(http.ResponseWriter, *http.Request) {})
		h := startRoutes(t, n, busyAddress, otherAddress)
		h.call(t, http.MethodPost, "/handovers/1", "body")
		time.Sleep(2400 * time.Millisecond)
		for range 5 {
			if response, _, err := h.call(t, http.MethodPost, "/handovers/1", "body"); err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("response %v, error %v, want the other server's answer", response, err)
			}
		}
		if len(busy.requests()) != 1 || len(other.requests()) != 6 {
			t.Errorf("%d requests reached the busy server and %d the other, want 1 and 6", len(busy.requests()), len(other.requests()))
		}
		time.Sleep(200 * time.Millisecond)
		refuses = false
		h.call(t, http.MethodPost, "/handovers/1", "body")
		if len(busy.requests()) != 2 {
			t.Error("the server gets no requests after the pause")
		}
	})
}

// TestLimitInAnAnswerIsToldOnce guards against a limit of requests that the other hosts
// don't hear of, or hear of with each answer, and against one that never ends.
func TestLimitInAnAnswerIsToldOnce(t *testing.T) {
	memnet.Test(t, func(t *testing.T, n *memnet.Network) {
		limit := ""
		_, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Limit", limit) })
		h := startRoutes(t, n, address)
		var told []float64
		h.front.config.OnLimited = func(server policy.Server, perS float64) {
			if server.Name != "r1" {
				t.Errorf("server %s is limited", server.Name)
			}
			told = append(told, perS)
		}
		for _, step := range []struct {
			limit string
			told  []float64
		}{
			{"", nil},
			{"2.5", []float64{2.5}},
			{"2.5", nil},
			{"NaN", nil},
			{"many", nil},
			{"7", []float64{7}},
			{"", []float64{0}},
			{"", nil},
			{"0", []float64{0.5}},
		} {
			limit, told = step.limit, nil
			time.Sleep(1200 * time.Millisecond)
			if _, _, err := h.call(t, http.MethodGet, "/lookups/1", "body"); err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(told, step.told) {
				t.Errorf("limit %q: told %v, want %v", step.limit, told, step.told)
			}
		}
	})
}

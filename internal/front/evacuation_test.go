package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"mimosafront/internal/memnet"
	"mimosafront/internal/message"
	"mimosafront/internal/settings"
)

// evacuate evacuates zone a of a host.
func evacuate(h *host) {
	h.front.config.Evacuations.Merge([]message.Evacuation{{Zone: "a", Revision: 9, Evacuated: true}})
}

// TestGrantFromBeforeAnEvacuationIsNotUsed guards against a request whose grant was given,
// and whose connection is being opened, when the zone of its server is evacuated. On every
// kind of route it must run in another zone, at no cost of an attempt or a retry, and also if
// the scheduler offers further servers of the zone.
func TestGrantFromBeforeAnEvacuationIsNotUsed(t *testing.T) {
	for _, c := range []struct{ method, path string }{
		{http.MethodGet, "/lookups/1"}, {http.MethodPost, "/handovers/1"}, {http.MethodPost, "/drafts/1"}, {http.MethodPost, "/stories/1"},
	} {
		t.Run(strings.Trim(c.path, "/1"), func(t *testing.T) {
			memnet.Test(t, func(t *testing.T, n *memnet.Network) {
				answer := func(w http.ResponseWriter, r *http.Request) {
					if strings.HasPrefix(r.URL.Path, "/drafts") || strings.HasPrefix(r.URL.Path, "/stories") {
						writeEvents(w, 1, 2)
					}
				}
				emptied, address := startRouteServer(t, n, answer)
				other, otherAddress := startRouteServer(t, n, answer)
				servers := ""
				for number := range 6 {
					servers += routeServers(number+1, "a", address)
				}
				h := startRoutesOn(t, n, func(*settings.Front) {}, servers+routeServers(7, "b", otherAddress))
				h.front.retries = newRetryBudget(0, 0)
				h.front.relay.Dialer.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := n.DialContext(ctx, network, address)
					evacuate(h)
					return conn, err
				}
				response, _, err := h.call(t, c.method, c.path, "body")
				if err != nil || response.StatusCode != http.StatusOK {
					t.Errorf("response %v, error %v, want the other zone's answer", response, err)
				}
				if len(emptied.requests()) != 0 || len(other.requests()) != 1 {
					t.Errorf("%d requests reached the evacuated zone and %d the other, want 0 and 1", len(emptied.requests()), len(other.requests()))
				}
				if got := h.scheduler.lease(0).outcome(); got != message.ReleaseOutcomeUnused {
					t.Errorf("the grant from before was released as %s, want unused", got)
				}
			})
		})
	}
}

// TestStreamOfAnEvacuatedZoneEndsWhereItRuns checks that a stream which runs goes on, and
// that one which breaks off is resumed in another zone.
func TestStreamOfAnEvacuatedZoneEndsWhereItRuns(t *testing.T) {
	for _, breaks := range []bool{false, true} {
		memnet.Test(t, func(t *testing.T, n *memnet.Network) {
			var h *host
			emptied, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) {
				writeEvents(w, 1, 2)
				evacuate(h)
				if breaks {
					_, _ = io.WriteString(w, "id: 3\nda")
					panic(http.ErrAbortHandler)
				}
				writeEvents(w, 3, 5)
			})
			other, otherAddress := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 3, 5) })
			h = startRoutesOn(t, n, func(*settings.Front) {}, routeServers(1, "a", address)+routeServers(2, "a", address)+routeServers(3, "b", otherAddress))
			_, body, err := h.call(t, "POST", "/stories/7", "")
			if err != nil || body != events(1, 5) {
				t.Errorf("got %q, %v, want five events", body, err)
			}
			if elsewhere := len(other.requests()) == 1; len(emptied.requests()) != 1 || elsewhere != breaks {
				t.Errorf("%d requests reached the evacuated zone, want 1; resumed in the other zone: %t, want %t", len(emptied.requests()), elsewhere, breaks)
			}
		})
	}
}

// TestCallsOfServicesDontReachAnEvacuatedZone checks the paths of tickets, repeatable calls
// and chats: without an open zone they are refused as not run.
func TestCallsOfServicesDontReachAnEvacuatedZone(t *testing.T) {
	for _, request := range []string{
		post("/services/orders/captures", `{"order":7}`, "Mimosa-Ticket: ticket-1"),
		strings.Replace(post("/services/orders/captures/7", ""), "POST", "GET", 1),
		post("/v1/chat/completions", chatBody(true)),
	} {
		memnet.Test(t, func(t *testing.T, n *memnet.Network) {
			engine, calls := startEngine(t, n, answerWhole), 0
			service := startService(t, n, func(http.ResponseWriter, *http.Request) { calls++ })
			h := startHost(t, n, testPolicy(t, []string{engine.address}, []string{service}), testSettings())
			evacuate(h)
			answer := h.send(t, request)
			if !strings.HasPrefix(answer, "HTTP/1.1 503") || !strings.Contains(answer, "not_run") || calls+engine.count() > 0 {
				t.Errorf("%d requests reached the servers, answer %q, want none and status 503 with the verdict not_run", calls+engine.count(), answer)
			}
		})
	}
}

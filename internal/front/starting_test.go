package front

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"mimosafront/internal/memnet"
	"mimosafront/internal/policystore"
	"mimosafront/internal/settings"
)

// TestRequestsWaitForFirstPolicy replays what a front meets whose host restarts together
// with all others: a request comes 300 ms before the policy. It is served with
// start_wait_ms, refused at once without, and refused in time if no policy comes.
func TestRequestsWaitForFirstPolicy(t *testing.T) {
	for _, c := range []struct {
		name          string
		waitMs        int
		policyAfter   time.Duration
		deadline      string
		status        int
		least, atMost time.Duration
	}{
		{"served with the first policy", 1000, 300 * time.Millisecond, "4000", http.StatusOK, 300 * time.Millisecond, 310 * time.Millisecond},
		{"not asked for", 0, 300 * time.Millisecond, "4000", http.StatusServiceUnavailable, 0, 0},
		{"no policy", 1000, time.Minute, "8000", http.StatusServiceUnavailable, time.Second, time.Second},
		{"a short time limit", 1000, time.Minute, "800", http.StatusServiceUnavailable, 200 * time.Millisecond, 200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New()
				_, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 3) })
				h := startRoutesWith(t, n, func(s *settings.Front) { s.StartWaitMs = c.waitMs }, address)
				policies, policy := policystore.New(), h.front.config.Policy()
				h.front.config.Policy, h.front.config.PolicyKnown = policies.Current, policies.Known()
				later := time.AfterFunc(c.policyAfter, func() {
					if err := policies.Offer(policy, "test"); err != nil {
						t.Error(err)
					}
				})
				defer later.Stop()
				started := time.Now()
				response, _, err := h.call(t, "POST", "/stories/7", "a coin", "X-Tokens: 300,1200", "X-Deadline: "+c.deadline)
				if err != nil || response.StatusCode != c.status {
					t.Fatalf("got %v, %v", response, err)
				}
				if took := time.Since(started); took < c.least || took > c.atMost {
					t.Errorf("took %v", took)
				}
				if waiting := h.front.awaitingPolicy.Load(); waiting != 0 {
					t.Errorf("%d requests count as waiting", waiting)
				}
			})
		})
	}
}

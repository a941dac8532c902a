package front

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"mimosafront/internal/memnet"
	"mimosafront/internal/overload"
)

// An overloaded host refuses requests before it reads a body or asks for a server, with
// a verdict that nothing ran and a short delay. It accepts all requests again once the
// overload has ended.
func TestOverloadedHostRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		server, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		h := startRoutes(t, n, address)
		at := time.Now()
		run := func(length, delay time.Duration) {
			for end := at.Add(length); at.Before(end); at = at.Add(overload.SampleInterval + delay) {
				h.front.recordDelay(at, delay)
			}
		}
		call := func() *http.Response {
			response, _, err := h.call(t, "POST", "/handovers/7", "coin 7")
			if err != nil {
				t.Fatal(err)
			}
			return response
		}
		run(5*time.Second, 400*time.Millisecond)
		refused := 0
		for range 40 {
			response := call()
			if response.StatusCode == http.StatusOK {
				continue
			}
			refused++
			after, err := strconv.ParseFloat(response.Header.Get(headerRetryAfter), 64)
			if response.StatusCode != http.StatusServiceUnavailable || err != nil || after <= 0 || after > 0.5 {
				t.Fatalf("a refusal has status %d, retry after %g, error %v; want 503 and a delay of at most 0.5 s", response.StatusCode, after, err)
			}
		}
		if refused < 30 || len(server.requests()) != 40-refused {
			t.Errorf("refused %d of 40 requests, %d reached the server; want at least 30 refused and the others served", refused, len(server.requests()))
		}
		run(5*time.Second, 0)
		if response := call(); response.StatusCode != http.StatusOK {
			t.Errorf("status %d after the overload, want 200", response.StatusCode)
		}
	})
}

// A process that is scheduled in time measures no delay. Monitoring ends with its
// context.
func TestMonitorOverloadMeasuresNoDelayWhileIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		_, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		h := startRoutes(t, n, address)
		h.front.config.Settings.ShedOverload = true
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		h.front.MonitorOverload(ctx)
		if share := h.front.overloadGuard.guard.Share(); share != 0 {
			t.Errorf("the refused share is %g without any delay, want 0", share)
		}
	})
}

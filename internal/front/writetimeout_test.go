package front

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"mimosafront/internal/memnet"
)

// TestStreamOutlastsTheWriteTimeout guards against streams that are cut off when the write
// timeout has passed since their first event, and against an end that is not written.
func TestStreamOutlastsTheWriteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		_, address := startRouteServer(t, n, func(w http.ResponseWriter, r *http.Request) {
			for id := 1; id <= 5; id++ {
				writeEvents(w, id, id)
				pause(r, time.Second)
			}
			pause(r, 2*time.Second)
		})
		h := startRoutes(t, n, address) // write timeout 2 s, timeout of the route 10 s
		_, body, err := h.call(t, "POST", "/briefs/7", "")
		if err != nil || body != events(1, 5) {
			t.Errorf("got %q, %v: want five events and a regular end", body, err)
		}
	})
}

// pause waits until a time has passed or the caller has gone.
func pause(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

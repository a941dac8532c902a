package front

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
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

// TestSlowReaderGetsAWholeAnswer guards against large answers that are cut off when the
// write timeout has passed, although the caller goes on reading.
func TestSlowReaderGetsAWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		const size = 2 << 20
		_, address := startRouteServer(t, n, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", size))
		})
		h := startRoutes(t, n, address)
		conn := h.dial(t)
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "POST /orders/1 HTTP/1.1\r\nHost: coins.example\r\nX-Key: %s\r\nX-Id: id-1\r\nContent-Length: 0\r\n\r\n", testKey)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		read, part := 0, make([]byte, size/8)
		for err == nil {
			time.Sleep(500 * time.Millisecond)
			var got int
			got, err = io.ReadFull(response.Body, part)
			read += got
		}
		if read != size || err != io.EOF {
			t.Errorf("read %d bytes of %d, %v", read, size, err)
		}
	})
}

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

// TestSlowUpload guards against requests that are refused because their body takes longer
// than the read timeout, although it goes on arriving and the route allows it.
func TestSlowUpload(t *testing.T) {
	const parts, part = 6, "0123456789"
	for _, c := range []struct {
		name, path string
		pause      time.Duration
		want       int
	}{
		{"goes on arriving", "/orders/1", time.Second, http.StatusOK}, // read timeout 2 s, timeout of the route 10 s
		{"stops arriving", "/orders/1", 3 * time.Second, http.StatusBadRequest},
		{"outlasts its route", "/lookups/1", 300 * time.Millisecond, http.StatusServiceUnavailable}, // 1 s
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New()
				server, address := startRouteServer(t, n, func(http.ResponseWriter, *http.Request) {})
				h := startRoutes(t, n, address)
				conn := h.dial(t)
				// The writer is asleep until the end of its last pause.
				defer func() { _ = conn.Close(); time.Sleep(parts * c.pause) }()
				_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: coins.example\r\nX-Key: %s\r\nX-Id: id-1\r\nContent-Length: %d\r\n\r\n",
					c.path, testKey, parts*len(part))
				go func() {
					for range parts {
						time.Sleep(c.pause)
						if _, err := io.WriteString(conn, part); err != nil {
							return
						}
					}
				}()
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil || response.StatusCode != c.want {
					t.Fatalf("got %v, %v, want status %d", response, err, c.want)
				}
				if c.want == http.StatusOK && server.bodies[0] != strings.Repeat(part, parts) {
					t.Errorf("the server got %q", server.bodies[0])
				}
			})
		})
	}
}

// TestRefusalDoesNotWaitForTheBody guards against refusals that are held back until the rest
// of a body has arrived, which their requests don't need.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	for name, head := range map[string]string{
		"unknown key":   "POST /orders/1 HTTP/1.1\r\nX-Key: unknown",
		"unknown route": "POST /nowhere/1 HTTP/1.1\r\nX-Key: " + testKey,
		"no id":         "POST /orders/1 HTTP/1.1\r\nX-Id:\r\nX-Key: " + testKey,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New()
				_, address := startRouteServer(t, n, func(http.ResponseWriter, *http.Request) {})
				h := startRoutes(t, n, address)
				conn := h.dial(t)
				defer conn.Close()
				sent := time.Now()
				_, _ = io.WriteString(conn, head+"\r\nHost: coins.example\r\nX-Id: id-1\r\nContent-Length: 100\r\n\r\nthe first part")
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if waited := time.Since(sent); err != nil || response.StatusCode < 400 || waited > time.Second {
					t.Errorf("got %v, %v after %s, want a refusal at once", response, err, waited)
				}
			})
		})
	}
}

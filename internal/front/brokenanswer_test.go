package front

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"mimosafront/internal/memnet"
)

// startRawServer starts a backend server that answers each request with the same bytes
// and closes the connection.
func startRawServer(t *testing.T, n network, answer string) string {
	t.Helper()
	listener := listen(t, n)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return // a probe
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, answer)
			}()
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// framing is a way to say where the body of an answer ends.
type framing string

const (
	byLength framing = "content length"
	byChunks framing = "chunks"
	byClose  framing = "end of the connection"
)

var framings = []framing{byLength, byChunks, byClose}

// head returns the header of an answer with a body of the given length.
func (f framing) head(status string, length int) string {
	lines := "HTTP/1.1 " + status + "\r\nX-Id: id-1\r\nContent-Type: text/event-stream\r\n"
	switch f {
	case byLength:
		lines += fmt.Sprintf("Content-Length: %d\r\n", length)
	case byChunks:
		lines += "Transfer-Encoding: chunked\r\n"
	case byClose:
		lines += "Connection: close\r\n"
	}
	return lines + "\r\n"
}

// whole returns a complete answer.
func (f framing) whole(status, body string) string {
	if f == byChunks {
		return f.brokenOff(status, body, 0) + "0\r\n\r\n"
	}
	return f.head(status, len(body)) + body
}

// brokenOff returns an answer that ends before its last missing bytes.
func (f framing) brokenOff(status, body string, missing int) string {
	if f == byChunks && body != "" {
		body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	return f.head(status, len(body)+missing) + body
}

// TestErrorOfNextServerStaysOutOfTheStream guards against a stream that broke off and is
// continued with the error of the next server, or ends as if it were complete.
func TestErrorOfNextServerStaysOutOfTheStream(t *testing.T) {
	const text = "the model is not loaded"
	begun := events(1, 2) + "id: 3\nda"
	for _, first := range framings {
		for _, next := range framings {
			for name, answer := range map[string]string{
				"failed":             next.whole("500 Internal Server Error", text),
				"failed, cut off":    next.brokenOff("500 Internal Server Error", text, 9),
				"event of an error":  next.whole("500 Internal Server Error", "event: error\ndata: "+text+"\n\n"),
				"full":               next.whole("503 Service Unavailable", text),
				"not found":          next.whole("404 Not Found", text),
				"accepted":           next.whole("202 Accepted", text),
				"text as the stream": next.whole("200 OK", text),
				"earlier events":     next.whole("200 OK", events(1, 4)),
				"later events":       next.whole("200 OK", events(5, 6)),
				"head within body":   next.whole("200 OK", "HTTP/1.1 500 Internal Server Error\r\nX-Id: id-1\r\n"),
				"no answer":          "",
				"no HTTP":            text + "\r\n\r\n",
				"empty, cut off":     next.brokenOff("200 OK", "", 9),
			} {
				t.Run(fmt.Sprintf("%s/%s/%s", first, next, name), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						n := memnet.New()
						h := startRoutes(t, n, startRawServer(t, n, first.brokenOff("200 OK", begun, 99)), startRawServer(t, n, answer))
						response, body, err := h.call(t, "POST", "/stories/7", "")
						if response == nil || response.StatusCode != http.StatusOK {
							t.Fatalf("got %v, %v", response, err)
						}
						if err == nil || body != events(1, 2) {
							t.Errorf("got %q, %v; want the two events and a broken connection", body, err)
						}
					})
				})
			}
		}
	}
}

// TestAnswerWithinItsHeadIsNone guards against a 200 with an empty body when a server
// stops at any byte of the head of its answer, or before the body.
func TestAnswerWithinItsHeadIsNone(t *testing.T) {
	for _, path := range []string{"/drafts/7", "/stories/7", "/handovers/7", "/lookups/7"} {
		for _, f := range framings {
			t.Run(path+string(f), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := memnet.New()
					whole := f.head("200 OK", 9)
					for length := range len(whole) + 1 {
						if length == len(whole) && f == byClose && !strings.HasPrefix(path, "/stories") && !strings.HasPrefix(path, "/drafts") {
							continue // a complete answer without a body
						}
						h := startRoutes(t, n, startRawServer(t, n, whole[:length]))
						response, body, err := h.call(t, "POST", path, "")
						if response != nil && response.StatusCode < http.StatusBadRequest && err == nil {
							t.Errorf("cut after %q: status %d with body %q", whole[:length], response.StatusCode, body)
						}
					}
				})
			})
		}
	}
}

package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestQueuedConnectionsAreAnsweredAtAStop guards against requests that are cut off without
// an answer in a planned stop: their connections are open for the callers, but the host
// has not accepted them yet. The close of a listener resets them.
func TestQueuedConnectionsAreAnsweredAtAStop(t *testing.T) {
	const callers = 50
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &boundedListener{
		Listener: inner, connections: newConnections(2 * callers), closed: make(chan struct{}), drained: make(chan struct{}),
	}
	var conns []net.Conn
	for range callers {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	listener.AcceptQueued(ctx)
	if err := server.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	if err := <-served; err != http.ErrServerClosed {
		t.Error(err)
	}
	for i, conn := range conns {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("caller %d: got %v, %v", i, response, err)
		}
	}
}

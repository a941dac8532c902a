package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"mimosafront/internal/policy"
)

// Guards against requests that were given up and reach their server later, whole, because
// the kernel goes on sending after the end of the connection.
func TestGivenUpRequestDoesNotArriveLater(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan *net.TCPConn, 1)
	go func() {
		if conn, err := listener.Accept(); err == nil {
			tcp := conn.(*net.TCPConn)
			_ = tcp.SetReadBuffer(4 << 10)
			accepted <- tcp
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	const size = 1 << 20
	dialer := Dialer{ConnectTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	relay := &Relay{Dialer: dialer, RequestIDHeader: HeaderRequestID, IdleConns: NewIdleConns()}
	conn, failure := relay.Connect(ctx, policy.Server{Name: "s", Address: listener.Addr().String()}, "r1")
	if failure != nil {
		t.Fatal(failure)
	}
	server := <-accepted
	defer server.Close()
	if _, failure = relay.Send(conn, RelayedRequest{ID: "r1", Method: http.MethodPost, Host: "coins", Target: "/", Body: make([]byte, size)}); failure == nil {
		t.Fatal("a server that reads nothing has answered")
	}
	_ = server.SetReadDeadline(time.Now().Add(10 * time.Second))
	if n, err := io.Copy(io.Discard, server); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a request that was given up went on for %d bytes, the connection ended with %v, want a reset", n, err)
	}
}

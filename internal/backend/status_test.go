package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mimosafront/internal/policy"
)

// TestImpossibleStatusEndsTheExchange guards against a status that no answer has, such as
// 000, from servers whose answers are handed to a caller.
func TestImpossibleStatusEndsTheExchange(t *testing.T) {
	for _, status := range []string{"000 OK", "099 Odd", "101 Switching Protocols", "600 Odd", "999 Odd"} {
		dialer := Dialer{ConnectTimeout: time.Second, IdleTimeout: 10 * time.Second, Dial: func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				r, err := http.ReadRequest(bufio.NewReader(server))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				// The connection stays open, as if an answer followed.
				_, _ = io.WriteString(server, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
			}()
			return client, nil
		}}
		connect := func() *Conn {
			conn, err := dialer.Connect(t.Context(), policy.Server{Name: "s1", Address: "10.0.0.1:80"})
			if err != nil {
				t.Fatal(err)
			}
			return conn
		}
		service := &Service{Dialer: dialer}
		if answer, err := service.Dispatch(connect(), ServiceCall{ID: "r1", Method: http.MethodPost, Path: "/"}); err == nil || err.Kind != KindMalformed || !err.Sent {
			t.Errorf("service with status %s: %+v, %v", status, answer, err)
		}
		engine := &Engine{Dialer: dialer}
		if _, err := engine.Dispatch(connect(), Completion{ID: "r1", Body: []byte("{}")}); err == nil || err.Kind != KindMalformed || !err.Sent {
			t.Errorf("engine with status %s: %v", status, err)
		}
	}
}

package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"mimosafront/internal/policy"
	"mimosafront/internal/verdict"
)

// resettingServer answers the first requests of each connection, then reads one more
// request and resets the connection. It counts the received requests.
type resettingServer struct {
	address string

	// serving waits for the connections that are open.
	serving sync.WaitGroup

	mu sync.Mutex
	// received counts requests, keyed by method, a space and id.
	received map[string]int
}

// startResettingServer starts a server that answers the given number of requests on
// each connection.
func startResettingServer(t *testing.T, answered int) *resettingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &resettingServer{address: listener.Addr().String(), received: map[string]int{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.serving.Go(func() { s.serve(conn.(*net.TCPConn), answered) })
		}
	}()
	return s
}

func (s *resettingServer) serve(conn *net.TCPConn, answered int) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.mu.Lock()
		s.received[request.Method+" "+request.Header.Get(HeaderRequestID)]++
		s.mu.Unlock()
		if n >= answered {
			_ = conn.SetLinger(0)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (s *resettingServer) count(method, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[method+" "+id]
}

func testDialer() Dialer {
	return Dialer{ConnectTimeout: time.Second, IdleTimeout: 300 * time.Millisecond}
}

func mustConnect(t *testing.T, ctx context.Context, address string) *Conn {
	t.Helper()
	d := testDialer()
	conn, err := d.Connect(ctx, policy.Server{Name: "s1", Address: address})
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestTransportReplays checks that resettingServer detects repeated requests:
// http.Transport repeats a GET by itself when a reused connection is reset. Otherwise
// the other tests of this file would prove nothing.
func TestTransportReplays(t *testing.T) {
	server := startResettingServer(t, 1)
	client := &http.Client{Transport: &http.Transport{}}
	for _, id := range []string{"first", "second"} {
		request, err := http.NewRequest(http.MethodGet, "http://"+server.address+"/handovers/7", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(HeaderRequestID, id)
		response, err := client.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
	if n := server.count(http.MethodGet, "second"); n != 2 {
		t.Fatalf("http.Transport sent the second request %d times, want 2: the server doesn't detect repeated requests", n)
	}
}

func TestServiceDispatchesOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			server := startResettingServer(t, 1)
			reset := startResettingServer(t, 0)
			service := Service{Dialer: testDialer()}
			for _, id := range []string{"first", "second", "third"} {
				call := ServiceCall{ID: id, Method: method, Path: "/handovers/7"}
				if _, err := service.Dispatch(mustConnect(t, t.Context(), server.address), call); err != nil {
					t.Errorf("%s: %v", id, err)
				}
				_, err := service.Dispatch(mustConnect(t, t.Context(), reset.address), call)
				if err == nil || err.Verdict() != verdict.MayHaveRun {
					t.Errorf("%s on a reset connection: %v", id, err)
				}
				if a, b := server.count(method, id), reset.count(method, id); a != 1 || b != 1 {
					t.Errorf("%s was sent %d and %d times", id, a, b)
				}
			}
		})
	}
}

func TestEngineDispatchesOnce(t *testing.T) {
	server := startResettingServer(t, 0)
	engine := Engine{Dialer: testDialer()}
	_, err := engine.Dispatch(mustConnect(t, t.Context(), server.address), Completion{ID: "brief", Body: []byte("{}")})
	if err == nil || err.Verdict() != verdict.MayHaveRun {
		t.Errorf("error %v", err)
	}
	if n := server.count(http.MethodPost, "brief"); n != 1 {
		t.Errorf("dispatched %d times", n)
	}
	if n := server.count(http.MethodGet, "brief"); n != maxResumes {
		t.Errorf("resumed %d times, want %d", n, maxResumes)
	}
}

func TestConnectionCarriesOneRequest(t *testing.T) {
	server := startResettingServer(t, 1)
	conn := mustConnect(t, t.Context(), server.address)
	for _, id := range []string{"first", "second"} {
		request := newRequest(http.MethodPost, conn.Server(), "/captures", id, []byte("{}"))
		if _, err := conn.exchange(request); (err == nil) != (id == "first") {
			t.Errorf("%s: error %v", id, err)
		}
	}
	conn.Close()
	server.serving.Wait()
	if n := server.count(http.MethodPost, "second"); n != 0 {
		t.Errorf("the second request was sent %d times", n)
	}
}

func TestConnectFailureIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	d := testDialer()
	_, failure := d.Connect(t.Context(), policy.Server{Name: "s1", Address: address})
	if failure == nil || failure.Kind != KindConnect || failure.Verdict() != verdict.NotRun {
		t.Errorf("error %v", failure)
	}
}

func TestCancelledBeforeTheFirstByteIsNotRun(t *testing.T) {
	server := startResettingServer(t, 0)
	ctx, cancel := context.WithCancel(t.Context())
	conn := mustConnect(t, ctx, server.address)
	cancel()
	service := Service{Dialer: testDialer()}
	_, err := service.Dispatch(conn, ServiceCall{ID: "late", Method: http.MethodPost, Path: "/captures"})
	if err == nil || err.Kind != KindCancelled || err.Verdict() != verdict.NotRun {
		t.Errorf("error %v", err)
	}
	if n := server.count(http.MethodPost, "late"); n != 0 {
		t.Errorf("sent %d times", n)
	}
}

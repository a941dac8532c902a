// Package standin holds what the stand-ins of backend servers and of the
// platform share. They are used in tests, demonstrations and measurements.
package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"mimosafront/internal/loopback"
)

// closeTimeout bounds how long a stopped server waits for its handlers.
const closeTimeout = time.Second

// Server serves a handler on a loopback address. It can be killed and started
// again on the same address. The zero value is not usable, see NewServer.
type Server struct {
	handler http.Handler

	mu      sync.Mutex
	server  *http.Server
	address string
	// open holds the accepted connections that are not closed yet.
	open map[net.Conn]struct{}
}

// NewServer returns a Server that is not started.
func NewServer(handler http.Handler) *Server {
	return &Server{handler: handler, open: map[net.Conn]struct{}{}}
}

// Start listens on an address, or on a free loopback port if it is empty and
// the server had none before.
func (s *Server) Start(address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if address == "" {
		address = s.address
	}
	if address == "" {
		address = net.JoinHostPort(loopback.IP(loopback.StandinNumber), "0")
	}
	listener, err := loopback.Listen(address)
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s.handler, ReadHeaderTimeout: time.Minute, ConnState: s.trackState}
	go serve(s.server, listener)
	return nil
}

func serve(server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		_ = listener.Close()
	}
}

func (s *Server) trackState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.open, conn)
	}
}

func (s *Server) openConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// settlePoll is the time between two looks at the open connections.
const settlePoll = 2 * time.Millisecond

// Settle waits until all that was sent to the server before the call has been handled.
// It must only be called once all clients have closed their connections.
func (s *Server) Settle(ctx context.Context) error {
	// Connections are accepted in the order in which they were opened: once this one is
	// accepted, all earlier ones are among the open connections.
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", s.Address())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := s.awaitAccepted(ctx, conn.LocalAddr().String()); err != nil {
		return err
	}
	_ = conn.Close()
	return pollUntil(ctx, func() bool { return s.openConnections() == 0 })
}

// awaitAccepted waits until the connection from an address is accepted.
func (s *Server) awaitAccepted(ctx context.Context, client string) error {
	return pollUntil(ctx, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for conn := range s.open {
			if conn.RemoteAddr().String() == client {
				return true
			}
		}
		return false
	})
}

func pollUntil(ctx context.Context, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(settlePoll):
		}
	}
	return nil
}

// Address returns ip:port, also while the server is stopped.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Kill closes the listener and every connection at once, as the death of the
// process would.
func (s *Server) Kill() {
	if server := s.take(); server != nil {
		_ = server.Close()
	}
}

// Close stops the server and waits a moment for running handlers.
func (s *Server) Close() {
	server := s.take()
	if server == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

func (s *Server) take() *http.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.server
	s.server = nil
	return server
}

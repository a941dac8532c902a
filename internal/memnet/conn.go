package memnet

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// bufferBytes is the size of the buffer of one direction of a connection. A write to
// a full buffer blocks.
const bufferBytes = 64 << 10

// newPipe returns the client's and the server's end of a buffered connection.
func newPipe(client, server net.Addr) (net.Conn, net.Conn) {
	toServer, toClient := newStream(), newStream()
	return &conn{in: toClient, out: toServer, local: client, remote: server}, &conn{in: toServer, out: toClient, local: server, remote: client}
}

// conn implements net.Conn for one end of a connection.
type conn struct {
	in, out       *stream
	local, remote net.Addr
}

func (c *conn) Read(p []byte) (int, error)  { return c.in.read(p) }
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }
func (c *conn) LocalAddr() net.Addr         { return c.local }
func (c *conn) RemoteAddr() net.Addr        { return c.remote }

// Close closes both directions. The peer can still read data written before.
func (c *conn) Close() error {
	c.in.close(&c.in.reader)
	c.out.close(&c.out.writer)
	return nil
}

func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error  { return c.in.setDeadline(&c.in.reader, t) }
func (c *conn) SetWriteDeadline(t time.Time) error { return c.out.setDeadline(&c.out.writer, t) }

// stream is one direction of a connection: a bounded byte buffer with a reader and a
// writer.
type stream struct {
	mu sync.Mutex
	// changed is signalled after each read, write, close and change or expiry of a
	// deadline.
	changed sync.Cond
	buffer  bytes.Buffer
	// reader and writer are the state of the two ends, guarded by mu.
	reader, writer streamEnd
}

// streamEnd is the state of one end of a stream.
type streamEnd struct {
	closed   bool
	deadline time.Time
	timer    *time.Timer
}

func newStream() *stream {
	s := &stream{}
	s.changed.L = &s.mu
	return s
}

// checkUsable returns an error if the end is closed or its deadline has passed.
func (e *streamEnd) checkUsable() error {
	switch {
	case e.closed:
		return net.ErrClosed
	case !e.deadline.IsZero() && !time.Now().Before(e.deadline):
		return os.ErrDeadlineExceeded
	}
	return nil
}

func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if err := s.reader.checkUsable(); err != nil {
			return 0, err
		}
		if s.buffer.Len() > 0 {
			s.changed.Broadcast()
			return s.buffer.Read(p)
		}
		if s.writer.closed {
			return 0, io.EOF
		}
		s.changed.Wait()
	}
}

func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	written := 0
	for {
		if err := s.writer.checkUsable(); err != nil {
			return written, err
		}
		if s.reader.closed {
			return written, syscall.EPIPE
		}
		accepted := p[written:min(len(p), written+bufferBytes-s.buffer.Len())]
		s.buffer.Write(accepted)
		written += len(accepted)
		s.changed.Broadcast()
		if written == len(p) {
			return written, nil
		}
		s.changed.Wait()
	}
}

func (s *stream) close(e *streamEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.closed = true
	if e.timer != nil {
		e.timer.Stop()
	}
	s.changed.Broadcast()
}

func (s *stream) setDeadline(e *streamEnd, t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.closed {
		return net.ErrClosed
	}
	if e.timer != nil {
		e.timer.Stop()
	}
	e.deadline = t
	// In a synctest bubble, the runtime runs a timer that is due at once on the calling
	// goroutine. Several at a time corrupt the bubble's context in the race detector.
	if left := time.Until(t); !t.IsZero() && left > 0 {
		e.timer = time.AfterFunc(left, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.changed.Broadcast()
		})
	}
	s.changed.Broadcast()
	return nil
}

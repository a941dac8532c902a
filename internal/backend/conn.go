// Package backend speaks with backend servers: language-model engines and plain
// HTTP services.
//
// A request is dispatched at most once by construction: a Conn carries one exchange
// and its request is written once. The package doesn't use http.Transport, which
// replays a request of its own accord when a reused connection breaks.
package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"mimosafront/internal/policy"
)

const (
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// maxInformational bounds the 1xx responses before an answer.
	maxInformational = 4
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 8 << 10
)

// HeaderRequestID carries the request's id to a backend server and back.
const HeaderRequestID = "X-Request-Id"

// Dialer opens connections to backend servers.
type Dialer struct {
	// ConnectTimeout bounds the time to connect.
	ConnectTimeout time.Duration
	// IdleTimeout bounds the silence of a connection on which an answer is due.
	IdleTimeout time.Duration
	// Dial opens a connection; nil takes TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Connect opens a connection for one exchange. The error has kind KindConnect;
// nothing was sent.
func (d *Dialer) Connect(ctx context.Context, server policy.Server) (*Conn, *Error) {
	raw, err := d.dial(ctx, server.Address)
	if err != nil {
		return nil, &Error{Kind: KindConnect, Server: server.Name, Cause: err}
	}
	return newConn(ctx, raw, server, d.IdleTimeout), nil
}

func (d *Dialer) dial(ctx context.Context, address string) (net.Conn, error) {
	if d.Dial == nil {
		dialer := net.Dialer{Timeout: d.ConnectTimeout}
		return dialer.DialContext(ctx, "tcp", address)
	}
	ctx, cancel := context.WithTimeout(ctx, d.ConnectTimeout)
	defer cancel()
	return d.Dial(ctx, "tcp", address)
}

// Conn is a connection that carries one exchange. It is used by one goroutine;
// the end of the context given to Connect interrupts it.
type Conn struct {
	raw         net.Conn
	server      policy.Server
	idleTimeout time.Duration
	ctx         context.Context
	stopWatch   func() bool
	reader      *bufio.Reader
	limited     io.LimitedReader
	used        bool
	// isAlive is asked about a server that is silent; nil if silence is a failure.
	isAlive func() bool
	// skippedAnswers connections carried an answer that nobody asked for.
	skippedAnswers bool
	written        atomic.Int64
}

func newReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, readBufferBytes) }

// Server returns the backend server at the other end.
func (c *Conn) Server() policy.Server { return c.server }

// Close ends the connection.
func (c *Conn) Close() {
	c.stopWatch()
	_ = c.raw.Close()
}

// interrupt makes pending and later reads and writes fail.
func (c *Conn) interrupt() { _ = c.raw.SetDeadline(time.Unix(1, 0)) }

// exchange writes the request once and reads the header of the answer. A second
// call fails and writes nothing.
func (c *Conn) exchange(r *http.Request) (*http.Response, *Error) {
	if c.used {
		return nil, c.newError(KindMalformed, errors.New("connection carried a request before"))
	}
	c.used = true
	r.Close = true
	if err := c.ctx.Err(); err != nil {
		return nil, c.newError(KindCancelled, context.Cause(c.ctx))
	}
	if err := r.Write(countingWriter{c}); err != nil {
		return nil, c.classifyIOError(err)
	}
	return c.readHeader(r)
}

func (c *Conn) readHeader(r *http.Request) (*http.Response, *Error) {
	for range maxInformational {
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, c.classifyIOError(err)
		}
		if response.StatusCode >= http.StatusOK {
			c.limited.N = 1 << 62
			return response, nil
		}
	}
	return nil, c.newError(KindMalformed, fmt.Errorf("more than %d informational responses", maxInformational))
}

// classifyIOError classifies a failed read or write.
func (c *Conn) classifyIOError(err error) *Error {
	var timeout net.Error
	switch {
	case c.ctx.Err() != nil:
		return c.newError(KindCancelled, context.Cause(c.ctx))
	case errors.As(err, &timeout) && timeout.Timeout():
		return c.newError(KindSilent, err)
	}
	return c.newError(KindBroken, err)
}

func (c *Conn) newError(kind Kind, cause error) *Error {
	return &Error{Kind: kind, Sent: c.written.Load() > 0, Server: c.server.Name, Cause: cause}
}

// extendDeadline gives reads or writes another idle timeout by the method of the
// connection that sets their deadline, unless the context has ended.
func (c *Conn) extendDeadline(setDeadline func(time.Time) error) {
	_ = setDeadline(time.Now().Add(c.idleTimeout))
	if c.ctx.Err() != nil {
		c.interrupt()
	}
}

// SetLivenessCheck makes the connection ask alive whenever nothing came for a time while an
// answer is due. Reads fail once it returns false.
func (c *Conn) SetLivenessCheck(interval time.Duration, alive func() bool) {
	c.idleTimeout, c.isAlive = interval, alive
}

// idleReader fails a read that takes longer than the idle timeout, unless the server
// proves to be alive.
type idleReader struct{ c *Conn }

func (r idleReader) Read(p []byte) (int, error) {
	for {
		r.c.extendDeadline(r.c.raw.SetReadDeadline)
		n, err := r.c.raw.Read(p)
		if n > 0 || !r.c.needsLivenessCheck(err) || !r.c.isAlive() {
			return n, err
		}
	}
}

// needsLivenessCheck reports whether a read ended for the silence of a server that may prove to
// be alive.
func (c *Conn) needsLivenessCheck(err error) bool {
	var timeout net.Error
	return c.isAlive != nil && c.ctx.Err() == nil && errors.As(err, &timeout) && timeout.Timeout()
}

// countingWriter counts the bytes of the request that were handed over.
type countingWriter struct{ c *Conn }

func (w countingWriter) Write(p []byte) (int, error) {
	w.c.extendDeadline(w.c.raw.SetWriteDeadline)
	n, err := w.c.raw.Write(p)
	w.c.written.Add(int64(n))
	return n, err
}

// Package backend is the HTTP client for backend servers: language-model engines
// and plain HTTP services.
//
// Each request is written at most once: a Conn carries a single exchange and refuses
// a second one. The package doesn't use http.Transport because that retries
// idempotent requests by itself when a reused connection breaks.
package backend

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"mimosafront/internal/memlimit"
	"mimosafront/internal/policy"
)

const (
	// maxHeaderBytes limits the size of an answer's header, in bytes.
	maxHeaderBytes = 64 << 10
	// maxInformational limits the number of 1xx responses before an answer.
	maxInformational = 4
	// maxStatus is the highest status that HTTP defines a class for.
	maxStatus = 599
	// readBufferBytes is the size of a connection's read buffer, in bytes.
	readBufferBytes = 8 << 10
)

// HeaderRequestID is the HTTP header that carries the request's id to a backend
// server. Servers may echo it in the answer.
const HeaderRequestID = "X-Request-Id"

// Dialer opens connections to backend servers.
type Dialer struct {
	// ConnectTimeout limits the time to open a connection.
	ConnectTimeout time.Duration
	// IdleTimeout limits the time in which an exchange makes no progress: nothing is read,
	// and nothing of the request is written.
	IdleTimeout time.Duration
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// LeavingHeader is the header in which servers announce that they are leaving, and
	// LimitHeader the one in which they limit their requests; empty means HeaderLeaving
	// and HeaderRequestLimit.
	LeavingHeader, LimitHeader string
	// Memory bounds what is held of answers; nil sets no bound.
	Memory *memlimit.Pool
	// OnAnnouncement, if not nil, is called with what each answer announces. It must be
	// safe for concurrent use.
	OnAnnouncement func(server policy.Server, a Announcement)
}

// Connect opens a connection for one exchange. Its error has kind KindConnect and
// means that nothing was sent.
func (d *Dialer) Connect(ctx context.Context, server policy.Server) (*Conn, *Error) {
	raw, err := d.dial(ctx, server.Address)
	if err != nil {
		return nil, &Error{Kind: KindConnect, Server: server.Name, Cause: err}
	}
	return d.newConn(ctx, raw, server), nil
}

// newConn returns a Conn for one exchange on an open connection.
func (d *Dialer) newConn(ctx context.Context, raw net.Conn, server policy.Server) *Conn {
	c := &Conn{
		raw: raw, server: server, idleTimeout: d.IdleTimeout, ctx: ctx,
		headers:        announcementHeaders{leaving: cmp.Or(d.LeavingHeader, HeaderLeaving), limit: cmp.Or(d.LimitHeader, HeaderRequestLimit)},
		onAnnouncement: d.OnAnnouncement, memory: d.Memory,
	}
	c.limited.N = maxHeaderBytes
	c.limited.R = idleReader{c}
	c.reader = newReader(&c.limited)
	c.stopWatch = context.AfterFunc(ctx, c.interrupt)
	return c
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

// Conn is a connection for one exchange. It must be used by a single goroutine; its own
// goroutine may write the request meanwhile.
// Pending reads and writes fail when the context given to Connect ends.
type Conn struct {
	raw         net.Conn
	server      policy.Server
	idleTimeout time.Duration
	ctx         context.Context
	stopWatch   func() bool
	reader      *bufio.Reader
	// limited is the source of reader. Its limit applies to the header of an answer and
	// is lifted for the body.
	limited io.LimitedReader
	// used is set when the exchange has begun, answered when the header of its answer was
	// read.
	used, answered bool
	// isAlive is called when a read times out and reports whether to wait longer. If
	// it is nil, a timeout is a failure.
	isAlive func() bool
	// skippedAnswers is set when the connection delivered an answer to another
	// request. Such a connection isn't reused.
	skippedAnswers bool
	// refused are the ids of the requests that the server did not run on this connection.
	refused []string
	// written is the number of bytes of the request that were written, checkedBytes its
	// value at the last check of progress.
	written      atomic.Int64
	checkedBytes int64
	// writeEnded is closed when the write of the request in the background has ended; it is
	// nil if the request was written before the answer was read.
	writeEnded chan struct{}
	// writeErr is the error of the write, valid once it has ended.
	writeErr error
	// headers and onAnnouncement are those of the Dialer.
	headers        announcementHeaders
	onAnnouncement func(policy.Server, Announcement)
	// memory bounds what is held of answers.
	memory *memlimit.Pool
}

func newReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, readBufferBytes) }

// Server returns the backend server at the other end.
func (c *Conn) Server() policy.Server { return c.server }

// Close ends the connection.
func (c *Conn) Close() {
	c.stopWatch()
	c.closeRaw()
}

// closeRaw closes the connection, and drops what the server has not taken of a request
// that was given up: otherwise it may arrive seconds later, after a cut, when the server
// is leaving or another one has run the request.
func (c *Conn) closeRaw() {
	if tcp, ok := c.raw.(*net.TCPConn); ok && c.used && !c.answered {
		_ = tcp.SetLinger(0)
	}
	_ = c.raw.Close()
}

// interrupt makes pending and later reads and writes fail.
func (c *Conn) interrupt() { _ = c.raw.SetDeadline(time.Unix(1, 0)) }

// exchange writes the request and reads the header of the answer. A second call
// fails and writes nothing.
func (c *Conn) exchange(r *http.Request) (*http.Response, *Error) {
	r.Close = true
	if err := c.startWrite(r); err != nil {
		return nil, err
	}
	return c.readHeader(r)
}

func (c *Conn) readHeader(r *http.Request) (*http.Response, *Error) {
	for range maxInformational {
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, c.classifyIOError(err)
		}
		if status := response.StatusCode; IsAnswer(status) {
			c.limited.N = 1 << 62
			c.answered = true
			c.announce(response)
			return response, nil
		} else if !isInformational(status) {
			return nil, c.newError(KindMalformed, fmt.Errorf("status %03d", status))
		}
	}
	return nil, c.newError(KindMalformed, fmt.Errorf("more than %d informational responses", maxInformational))
}

// IsAnswer reports whether a status is one of an answer.
func IsAnswer(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// isInformational reports whether an answer may follow a status. A switch of protocols,
// after which none does, is never asked for.
func isInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// classifyIOError returns the Error for a failed read or write.
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

// newError returns an Error of the exchange, which ends with it.
func (c *Conn) newError(kind Kind, cause error) *Error {
	c.stopWrite() // so that Sent is final
	return &Error{Kind: kind, Sent: c.written.Load() > 0, Server: c.server.Name, Cause: cause}
}

// extendReadDeadline moves the read deadline to one idle timeout from now.
func (c *Conn) extendReadDeadline() {
	_ = c.raw.SetReadDeadline(time.Now().Add(c.idleTimeout))
	c.interruptIfEnded()
}

func (c *Conn) setWriteDeadline(t time.Time) {
	_ = c.raw.SetWriteDeadline(t)
	c.interruptIfEnded()
}

// interruptIfEnded interrupts the connection again if the context has ended: setting a
// deadline may have undone an earlier interrupt.
func (c *Conn) interruptIfEnded() {
	if c.ctx.Err() != nil {
		c.interrupt()
	}
}

// SetLivenessCheck makes a read that received nothing for the interval call alive. The
// read goes on while alive returns true and fails otherwise. The interval replaces the
// idle timeout.
func (c *Conn) SetLivenessCheck(interval time.Duration, isAlive func() bool) {
	c.idleTimeout, c.isAlive = interval, isAlive
}

// idleReader fails a read that takes longer than the idle timeout, unless a part of the
// request was written meanwhile or the liveness check reports that the server is alive.
type idleReader struct{ c *Conn }

func (r idleReader) Read(p []byte) (int, error) {
	for {
		r.c.extendReadDeadline()
		n, err := r.c.raw.Read(p)
		if n > 0 || !r.c.timedOut(err) || !r.c.isResponsive() {
			return n, err
		}
	}
}

// timedOut reports whether a read failed because the server sent nothing in time.
func (c *Conn) timedOut(err error) bool {
	var timeout net.Error
	return c.ctx.Err() == nil && errors.As(err, &timeout) && timeout.Timeout()
}

// isResponsive reports whether the server takes the request or passes the liveness check.
func (c *Conn) isResponsive() bool {
	return c.wroteSinceCheck() || c.isAlive != nil && c.isAlive()
}

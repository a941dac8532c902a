package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"mimosafront/internal/memlimit"
	"mimosafront/internal/policy"
)

const (
	// maxForeignAnswers limits the answers to other requests that are skipped before
	// the expected one.
	maxForeignAnswers = 4
	// maxForeignAnswerBytes limits the body of a skipped answer, in bytes.
	maxForeignAnswerBytes = 1 << 20
	// maxDiscardBytes and discardTimeout limit the body that is read of an answer which
	// is not passed on.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 200 * time.Millisecond
)

// Relay is a reverse proxy that forwards requests to backend servers unchanged. A
// connection is reused after a complete answer. Each request is still written at most
// once, to one connection.
type Relay struct {
	Dialer Dialer
	// RequestIDHeader is the header with the request's id; servers echo it.
	RequestIDHeader string
	// NotRunHeader is the header that a server sets in the answer to a request that it
	// did not run.
	NotRunHeader string
	IdleConns    *IdleConns
}

// RelayedRequest is a request to forward.
type RelayedRequest struct {
	ID     string
	Method string
	// Host and Target are the host name and the request target as received.
	Host, Target string
	Header       http.Header
	Body         []byte
}

// Answer is a server's answer whose body is still to be read. Call Close after the
// body was read to its end, and Cancel otherwise.
type Answer struct {
	Status int
	Header http.Header
	// NotRun is set when the answer states that the server did not run the request:
	// by the NotRunHeader or by status 421.
	NotRun   bool
	response *http.Response
	conn     *Conn
	// memory is reserved for what is held of the body.
	memory *memlimit.Reservation
}

// Connect returns an idle connection to a server or opens one, for the request with the
// given id. Its error has kind KindConnect and means that nothing was sent.
func (r *Relay) Connect(ctx context.Context, server policy.Server, id string) (*Conn, *Error) {
	if idle, ok := r.IdleConns.take(server, id); ok {
		conn := r.Dialer.newConn(ctx, idle.raw, server)
		conn.refused = idle.refused
		return conn, nil
	}
	return r.Dialer.Connect(ctx, server)
}

// Send writes a request and reads the header of its answer. On an error it closes the
// connection.
func (r *Relay) Send(conn *Conn, q RelayedRequest) (*Answer, *Error) {
	answer, err := r.send(conn, q)
	if err != nil {
		conn.Close()
	}
	return answer, err
}

func (r *Relay) send(conn *Conn, q RelayedRequest) (*Answer, *Error) {
	request := q.request()
	if err := conn.startWrite(request); err != nil {
		return nil, err
	}
	return r.receive(conn, request, q.ID)
}

// receive reads the header of the answer to a request. It skips answers to other
// requests on the same connection.
func (r *Relay) receive(conn *Conn, request *http.Request, id string) (*Answer, *Error) {
	for range maxForeignAnswers {
		response, failure := conn.readHeader(request)
		if failure != nil {
			return nil, failure
		}
		if response.Header.Get(r.RequestIDHeader) == id {
			notRun := response.Header.Get(r.NotRunHeader) != "" || response.StatusCode == http.StatusMisdirectedRequest
			if notRun {
				conn.refused = append(conn.refused, id)
			}
			return &Answer{
				Status: response.StatusCode, Header: response.Header, NotRun: notRun,
				response: response, conn: conn, memory: conn.memory.Reserve(),
			}, nil
		}
		if closeDelimited(response) {
			return nil, conn.newError(KindForeign, fmt.Errorf("answer carries the request id %q", response.Header.Get(r.RequestIDHeader)))
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignAnswerBytes))
		if err != nil || n == maxForeignAnswerBytes {
			return nil, conn.newError(KindForeign, err)
		}
		conn.limited.N = maxHeaderBytes
		conn.skippedAnswers = true
	}
	return nil, conn.newError(KindForeign, fmt.Errorf("more than %d answers to other requests", maxForeignAnswers))
}

func (q *RelayedRequest) request() *http.Request {
	request := &http.Request{
		Method: q.Method, URL: &url.URL{Opaque: q.Target}, Host: q.Host, Header: q.Header, ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(q.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(q.Body))
		request.ContentLength = int64(len(q.Body))
	}
	return request
}

// Read reads from the body of the answer. It returns io.EOF only if the body is
// complete. The end of the connection shows that only once the request was written: a
// reset is reported once, to the read or to the write.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if err == io.EOF && a.EndsWithConnection() && !a.conn.awaitWrite() {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// EndsWithConnection reports whether only the end of the connection shows that the body
// is complete.
func (a *Answer) EndsWithConnection() bool { return closeDelimited(a.response) }

// ClassifyError returns the Error for an error of Read.
func (a *Answer) ClassifyError(err error) *Error { return a.conn.classifyIOError(err) }

// MalformedError returns the Error for an answer that violates the protocol.
func (a *Answer) MalformedError(cause error) *Error { return a.conn.newError(KindMalformed, cause) }

// ReadAll reads the whole body, up to maxAnswerBytes. On an error it closes the
// connection. The body counts towards the memory of the dialer until Release.
func (a *Answer) ReadAll() ([]byte, *Error) {
	body, err := readBody(a, a.memory)
	if err == nil {
		return body, nil
	}
	a.Release()
	a.Cancel()
	if errors.Is(err, errBodyTooLong) {
		return nil, a.MalformedError(err)
	}
	return nil, a.ClassifyError(err)
}

// Hold reserves memory for a part of the body of the given size, in bytes, and reports
// whether there was enough. Release frees it.
func (a *Answer) Hold(size int) bool { return a.memory.Cover(size) }

// Release frees the memory of what is held of the body.
func (a *Answer) Release() { a.memory.Release() }

// Discard ends the exchange without the body. It keeps the connection if a body within
// maxDiscardBytes follows within discardTimeout; one that may be endless is not read.
func (a *Answer) Discard(r *Relay) {
	if a.response.ContentLength < 0 || a.response.ContentLength > maxDiscardBytes {
		a.Cancel()
		return
	}
	timer := time.AfterFunc(discardTimeout, func() { _ = a.conn.raw.Close() })
	_, err := io.Copy(io.Discard, a)
	if !timer.Stop() || err != nil {
		a.Cancel()
		return
	}
	a.Close(r)
}

// Close ends the exchange after the body was read to its end. It returns the
// connection to the pool of idle connections of r, or closes it if it can't be reused. A
// server that has answered with a success still gets the rest of the request.
func (a *Answer) Close(r *Relay) {
	switch {
	case a.reusable() && r.IdleConns.put(a.conn, a.Header):
	case a.conn.isWriting() && a.Status < http.StatusMultipleChoices:
		a.conn.closeWhenWritten()
	default:
		a.conn.Close()
	}
}

// IsEarly reports whether the request isn't written whole yet, so that nothing but its rest
// may be written on the connection.
func (a *Answer) IsEarly() bool { return !a.conn.requestWritten() }

// Cancel ends the exchange and closes the connection.
func (a *Answer) Cancel() { a.conn.Close() }

func (a *Answer) reusable() bool {
	c := a.conn
	return !a.IsEarly() && !a.response.Close && !closeDelimited(a.response) && !c.skippedAnswers && len(c.refused) < maxRefused &&
		c.reader.Buffered() == 0 && c.ctx.Err() == nil
}

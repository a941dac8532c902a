package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"mimosafront/internal/policy"
)

const (
	// maxForeignAnswers bounds the answers to other requests that are skipped before the
	// one that is due.
	maxForeignAnswers = 4
	// maxForeignAnswerBytes bounds the body of a skipped answer.
	maxForeignAnswerBytes = 1 << 20
	// writeBufferBytes holds the header and most bodies, which then leave in one
	// write.
	writeBufferBytes = 32 << 10
)

// Relay passes requests on to backend servers unchanged. Connections that are free
// after a whole answer carry later requests; each request is still written once, to
// one connection.
type Relay struct {
	Dialer Dialer
	// RequestIDHeader is the header that servers echo.
	RequestIDHeader string
	// NotRunHeader is the header of answers to requests that the server did not run.
	NotRunHeader string
	IdleConns    *IdleConns
}

// RelayedRequest is a request to pass on.
type RelayedRequest struct {
	ID     string
	Method string
	// Host and Target are the host name and the request target, as they came.
	Host, Target string
	Header       http.Header
	Body         []byte
}

// Answer is the beginning of a server's answer. Its body must be read to the end or
// the connection closed.
type Answer struct {
	Status int
	Header http.Header
	// NotRunHeader is set when the server says that it did not run the request.
	NotRun   bool
	response *http.Response
	conn     *Conn
}

// Connect returns a free connection to a server or opens one. The error has kind
// KindConnect; nothing was sent.
func (r *Relay) Connect(ctx context.Context, server policy.Server) (*Conn, *Error) {
	if raw := r.IdleConns.take(server); raw != nil {
		return newConn(ctx, raw, server, r.Dialer.IdleTimeout), nil
	}
	return r.Dialer.Connect(ctx, server)
}

// Send writes a request once and reads the header of its answer. The connection is
// closed on an error.
func (r *Relay) Send(conn *Conn, q RelayedRequest) (*Answer, *Error) {
	answer, err := r.send(conn, q)
	if err != nil {
		conn.Close()
	}
	return answer, err
}

func (r *Relay) send(conn *Conn, q RelayedRequest) (*Answer, *Error) {
	if conn.used {
		return nil, conn.newError(KindMalformed, errors.New("connection carried a request before"))
	}
	conn.used = true
	if conn.ctx.Err() != nil {
		return nil, conn.newError(KindCancelled, context.Cause(conn.ctx))
	}
	request := q.request()
	buffer := bufio.NewWriterSize(countingWriter{conn}, writeBufferBytes)
	if err := errors.Join(request.Write(buffer), buffer.Flush()); err != nil {
		// A server may answer before it has read the whole request.
		if conn.ctx.Err() != nil || conn.written.Load() == 0 {
			return nil, conn.classifyIOError(err)
		}
	}
	return r.receive(conn, request, q.ID)
}

// receive reads the answer to a request. Answers to earlier requests are skipped.
func (r *Relay) receive(conn *Conn, request *http.Request, id string) (*Answer, *Error) {
	for range maxForeignAnswers {
		response, failure := conn.readHeader(request)
		if failure != nil {
			return nil, failure
		}
		if response.Header.Get(r.RequestIDHeader) == id {
			notRun := response.Header.Get(r.NotRunHeader) != "" || response.StatusCode == http.StatusMisdirectedRequest
			return &Answer{Status: response.StatusCode, Header: response.Header, NotRun: notRun, response: response, conn: conn}, nil
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

// Read reads from the body of the answer; io.EOF is its whole end.
func (a *Answer) Read(p []byte) (int, error) { return a.response.Body.Read(p) }

// ClassifyError classifies an error of Read.
func (a *Answer) ClassifyError(err error) *Error { return a.conn.classifyIOError(err) }

// MalformedError returns the error of an answer that doesn't follow the protocol.
func (a *Answer) MalformedError(cause error) *Error { return a.conn.newError(KindMalformed, cause) }

// ReadAll reads the whole body.
func (a *Answer) ReadAll() ([]byte, *Error) {
	body, err := io.ReadAll(io.LimitReader(a, maxAnswerBytes+1))
	if err != nil {
		return nil, a.ClassifyError(err)
	}
	if len(body) > maxAnswerBytes {
		return nil, a.MalformedError(fmt.Errorf("answer exceeds %d bytes", maxAnswerBytes))
	}
	return body, nil
}

// Close ends the exchange after the body was read to its end, and keeps the
// connection for later ones if it can carry them.
func (a *Answer) Close(r *Relay) {
	if a.reusable() && r.IdleConns.put(a.conn, a.Header) {
		return
	}
	a.conn.Close()
}

// Cancel ends the exchange and the connection.
func (a *Answer) Cancel() { a.conn.Close() }

func (a *Answer) reusable() bool {
	c := a.conn
	return !a.response.Close && !closeDelimited(a.response) && !c.skippedAnswers && c.reader.Buffered() == 0 && c.ctx.Err() == nil
}

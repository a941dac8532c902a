package backend

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// maxAnswerBytes bounds the answer of a plain service, which is held whole
// before the caller gets any of it.
const maxAnswerBytes = 8 << 20

// The headers that identify an operation to a plain service.
const (
	// HeaderOperationID carries the ticket or idempotency key.
	HeaderOperationID = "X-Operation-Id"
	// HeaderFencingNumber grows with each start of an entry host.
	HeaderFencingNumber = "X-Fencing-Number"
)

// Service speaks with plain HTTP services.
type Service struct {
	Dialer Dialer
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	// ID identifies the request in the whole fleet.
	ID     string
	Method string
	// Path is the path and query under the server's root.
	Path   string
	Header http.Header
	Body   []byte
	// OperationID identifies a call that may not be repeated; empty for others.
	OperationID string
	// FencingNumber is the fencing number of an operation.
	FencingNumber int
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Dispatch sends a call on a connection, reads the whole answer and closes the
// connection.
func (s *Service) Dispatch(conn *Conn, call ServiceCall) (*ServiceAnswer, *Error) {
	defer conn.Close()
	response, err := conn.exchange(serviceRequest(conn, call))
	if err != nil {
		return nil, err
	}
	if id := response.Header.Get(HeaderRequestID); id != "" && id != call.ID {
		return nil, conn.newError(KindForeign, fmt.Errorf("answer carries the request id %q", id))
	}
	if closeDelimited(response) {
		return nil, conn.newError(KindMalformed, errors.New("answer has neither a length nor chunks"))
	}
	body, readErr := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if readErr != nil {
		return nil, conn.classifyIOError(readErr)
	}
	if len(body) > maxAnswerBytes {
		return nil, conn.newError(KindMalformed, fmt.Errorf("answer exceeds %d bytes", maxAnswerBytes))
	}
	return &ServiceAnswer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// closeDelimited reports whether the end of an answer can't be told from a cut.
func closeDelimited(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

func serviceRequest(conn *Conn, call ServiceCall) *http.Request {
	request := newRequest(call.Method, conn.server, call.Path, call.ID, call.Body)
	for name, values := range call.Header {
		request.Header[name] = values
	}
	request.Header.Set(HeaderRequestID, call.ID)
	if call.OperationID != "" {
		request.Header.Set(HeaderOperationID, call.OperationID)
		request.Header.Set(HeaderFencingNumber, strconv.Itoa(call.FencingNumber))
	}
	return request
}

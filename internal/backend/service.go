package backend

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
)

// maxAnswerBytes limits the answer of a plain service, in bytes. The answer is buffered
// completely before any of it is sent to the caller.
const maxAnswerBytes = 8 << 20

// HTTP headers that identify an operation to a plain service.
const (
	// HeaderOperationID carries the operation's id, which is its ticket or idempotency
	// key.
	HeaderOperationID = "X-Operation-Id"
	// HeaderFencingNumber carries the fencing number, which grows with each start of an
	// entry host.
	HeaderFencingNumber = "X-Fencing-Number"
)

// Service is a client for plain HTTP services.
type Service struct {
	Dialer Dialer
}

// ServiceCall is a request to a plain service.
type ServiceCall struct {
	// ID identifies the request and is unique in the fleet.
	ID     string
	Method string
	// Path is the URL path with the query.
	Path   string
	Header http.Header
	Body   []byte
	// OperationID identifies a call that must not be repeated; it is empty for other
	// calls.
	OperationID string
	// FencingNumber is sent with the OperationID.
	FencingNumber int
}

// ServiceAnswer is the complete answer of a plain service.
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
		return nil, conn.newError(KindMalformed, errors.New("answer has neither a length nor chunked encoding"))
	}
	memory := conn.memory.Reserve()
	defer memory.Release()
	body, readErr := readBody(response.Body, memory)
	switch {
	case errors.Is(readErr, errBodyTooLong):
		return nil, conn.newError(KindMalformed, readErr)
	case readErr != nil:
		return nil, conn.classifyIOError(readErr)
	}
	return &ServiceAnswer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// closeDelimited reports whether only the close of the connection ends the answer's
// body, so that a truncated body looks complete.
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

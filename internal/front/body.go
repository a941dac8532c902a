package front

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/memlimit"
	"mimosafront/internal/settings"
	"mimosafront/internal/verdict"
)

// readBody reads the body of a request within the limits of size and memory, for as long as it
// goes on arriving, until the deadline of the request. The memory stays reserved until the end
// of the request.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, q *request) ([]byte, *apierror.Error) {
	limit := f.config.Settings.MaxBodyBytes
	if r.ContentLength > int64(limit) {
		return nil, tooLarge(limit)
	}
	expected := int(r.ContentLength)
	if expected < 0 {
		expected = limit
	}
	if err := f.admission.reserve(q, expected); err != nil {
		return nil, err
	}
	arriving := &arrivingBody{
		ReadCloser: r.Body, control: http.NewResponseController(w),
		timeout: settings.Milliseconds(f.config.Settings.ReadTimeoutMs), deadline: q.deadline,
	}
	q.unreadBody = false
	body, err := readWhole(http.MaxBytesReader(w, arriving, int64(limit)), int(r.ContentLength), limit)
	if err != nil && !now().Before(q.deadline) {
		<-q.ctx.Done()
		return nil, q.contextError(verdict.NotRun)
	}
	if err != nil {
		// The deadline stays: net/http would wait for the rest of the body before it sends
		// the answer.
		return nil, bodyError(err, limit)
	}
	_ = arriving.control.SetReadDeadline(time.Time{})
	f.admission.resize(q, len(body))
	return body, nil
}

// arrivingBody fails a read of a body when nothing has arrived for the timeout, or at the
// deadline of the request.
type arrivingBody struct {
	io.ReadCloser
	control  *http.ResponseController
	timeout  time.Duration
	deadline time.Time
}

func (b *arrivingBody) Read(p []byte) (int, error) {
	until := now().Add(b.timeout)
	if b.deadline.Before(until) {
		until = b.deadline
	}
	_ = b.control.SetReadDeadline(until)
	return b.ReadCloser.Read(p)
}

// readWhole reads a body of the given length, or of any length within the limit if it is
// negative. A body of a known length takes no more memory than that.
func readWhole(body io.Reader, length, limit int) ([]byte, error) {
	if length < 0 {
		return memlimit.ReadAll(body, limit, (*memlimit.Pool)(nil).Reserve())
	}
	whole := make([]byte, length)
	_, err := io.ReadFull(body, whole)
	return whole, err
}

func tooLarge(limit int) *apierror.Error {
	return apierror.New(apierror.CodeTooLarge, verdict.NotRun, "the body exceeds %d bytes", limit)
}

func bodyError(err error, limit int) *apierror.Error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return tooLarge(limit)
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return apierror.New(apierror.CodeMalformed, verdict.NotRun, "the body did not arrive in time").WithCause(err)
	}
	return apierror.New(apierror.CodeMalformed, verdict.NotRun, "the body is incomplete").WithCause(err)
}

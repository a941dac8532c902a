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

// readBody reads the body of a request within the limits of size, memory and read time.
// The memory stays reserved until the end of the request.
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
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(now().Add(settings.Milliseconds(f.config.Settings.ReadTimeoutMs)))
	body, err := readWhole(http.MaxBytesReader(w, r.Body, int64(limit)), int(r.ContentLength), limit)
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		return nil, bodyError(err, limit)
	}
	f.admission.resize(q, len(body))
	return body, nil
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

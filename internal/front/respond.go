package front

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/settings"
)

// fail records the error that a request ends with.
func (q *request) fail(err *apierror.Error) {
	q.outcome.err = err
	q.outcome.verdict = err.Verdict
}

// refuse answers a request with an error. Nothing must have been sent before.
func (f *Front) refuse(w http.ResponseWriter, q *request, err *apierror.Error) {
	q.fail(err)
	body, encodeErr := json.Marshal(err.Body())
	if encodeErr != nil {
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if err.RetryAfter > 0 {
		header.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(err.RetryAfter.Seconds()))))
	}
	if closesConnection(err.Code) {
		header.Set("Connection", "close")
	}
	f.writeBody(w, q, err.Status(), body)
}

// closesConnection reports whether the connection must be closed after an error: the
// body of the request was not read, or the entry host is stopping.
func closesConnection(code apierror.Code) bool {
	switch code {
	case apierror.CodeTooLarge, apierror.CodeStopping, apierror.CodeQueueFull, apierror.CodeUnauthorized:
		return true
	}
	return false
}

// writeBody answers a request with a complete body.
func (f *Front) writeBody(w http.ResponseWriter, q *request, status int, body []byte) {
	header := w.Header()
	header.Set(HeaderVerdict, string(q.outcome.verdict))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	f.writeHeader(w, q, status)
	f.writeInParts(w, q, body)
}

// maxWriteBytes limits one write of a body to a caller.
const maxWriteBytes = 64 << 10

// writeInParts writes a body to a caller. Each part has a write timeout of its own, so that a
// caller that reads slowly gets all of it. Beyond the deadline of the request, the timeout
// isn't renewed: the body takes memory for as long as it is written.
func (f *Front) writeInParts(w http.ResponseWriter, q *request, body []byte) {
	for part := range slices.Chunk(body, maxWriteBytes) {
		if now().Before(q.deadline) {
			f.extendWriteDeadline(w)
		}
		if _, err := w.Write(part); err != nil {
			return
		}
	}
}

// writeHeader sends the status with the headers common to all answers.
func (f *Front) writeHeader(w http.ResponseWriter, q *request, status int) {
	q.outcome.status = status
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set(HeaderRequestID, q.id)
	if q.unreadBody {
		_ = http.NewResponseController(w).SetReadDeadline(now().Add(unreadBodyTime))
	}
	f.extendWriteDeadline(w)
	w.WriteHeader(status)
}

// unreadBodyTime is how long an answer waits for a body that was not read. net/http reads what
// is on its way, so that the connection can be used again, before it sends the answer.
const unreadBodyTime = 100 * time.Millisecond

// extendWriteDeadline sets the deadline of the writes to a caller to one write timeout from
// now. It holds for all later writes, so each write that may come late is preceded by a call.
func (f *Front) extendWriteDeadline(w http.ResponseWriter) {
	timeout := settings.Milliseconds(f.config.Settings.WriteTimeoutMs)
	_ = http.NewResponseController(w).SetWriteDeadline(now().Add(timeout))
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}

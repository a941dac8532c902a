package front

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"

	"mimosafront/internal/backend"
	"mimosafront/internal/grant"
	"mimosafront/internal/memlimit"
)

const (
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	// maxUnnumberedBytes limits what a stream holds between two numbered events: comments
	// and the like.
	maxUnnumberedBytes = 64 << 10
)

var (
	eventIDField    = []byte("id:")
	errEventOrder   = errors.New("an event is missing, repeated or out of order")
	errEventTooLong = errors.New("an event exceeds the size limit")
	errNoEvent      = errors.New("the stream goes on without a numbered event")
)

// forwardEvents forwards the server-sent events of a stream as they arrive, each as a
// whole. What has no number, such as a comment, is forwarded with the next event: bytes
// that belong to no stream must not reach the client. A stream that is resumed on another
// server keeps the header of the first answer.
func (f *Front) forwardEvents(q *routedRequest, lease grant.Lease, answer *backend.Answer) *backend.Error {
	defer answer.Release()
	reader := bufio.NewReader(answer)
	begun := q.eventCount
	var unnumbered []byte
	for {
		event, err := readEvent(reader, answer.Hold)
		if err == io.EOF && len(event) == 0 {
			break
		}
		if err != nil {
			failure := answer.ClassifyError(unexpectedEOF(err))
			answer.Cancel()
			return failure
		}
		id, numbered := parseEventID(event)
		if !numbered {
			if unnumbered = append(unnumbered, event...); len(unnumbered) > maxUnnumberedBytes {
				answer.Cancel()
				return answer.MalformedError(errNoEvent)
			}
			continue
		}
		if id != q.lastEventID+1 {
			answer.Cancel()
			return answer.MalformedError(errEventOrder)
		}
		event, unnumbered = append(unnumbered, event...), nil
		if failure := f.writeEvent(q, answer, event); failure != nil {
			answer.Cancel()
			return failure
		}
		answer.Release()
		q.recordEvent(lease, id)
	}
	if failure := f.endStream(q, answer, unnumbered, q.eventCount-begun); failure != nil {
		answer.Cancel()
		return failure
	}
	answer.Close(&f.relay)
	return nil
}

// endStream sends what follows the last event of a complete stream, and the header if
// there was no event. A connection that ends before the first event of its answer has been
// broken off, unless the answer says that its body is empty.
func (f *Front) endStream(q *routedRequest, answer *backend.Answer, rest []byte, events int) *backend.Error {
	if events == 0 && answer.EndsWithConnection() {
		return answer.ClassifyError(io.ErrUnexpectedEOF)
	}
	if len(rest) > 0 {
		return f.writeEvent(q, answer, rest)
	}
	if !q.headerSent {
		f.beginStream(q, answer)
	}
	f.extendWriteDeadline(q.w) // for the end of the body, which net/http writes
	return nil
}

// unexpectedEOF replaces io.EOF, which ended a stream within an event, by
// io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readEvent reads the bytes of one event up to and including the empty line that ends
// it. hold reserves memory for a number of bytes and reports whether there was enough.
func readEvent(r *bufio.Reader, hold func(bytes int) bool) ([]byte, error) {
	var event []byte
	for len(event) <= maxEventBytes {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if !hold(cap(event)) {
			return event, memlimit.ErrNoMemory
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return event, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) {
			return event, nil
		}
	}
	return event, errEventTooLong
}

// parseEventID returns the numeric ID of an event. The second result is false if there
// is none.
func parseEventID(event []byte) (int, bool) {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, eventIDField); ok {
			id, err := strconv.Atoi(string(bytes.TrimSpace(rest)))
			return id, err == nil
		}
	}
	return 0, false
}

// beginStream sends the header of a stream to the client.
func (f *Front) beginStream(q *routedRequest, answer *backend.Answer) {
	q.headerSent = true
	q.copyHeader(answer.Header)
	q.w.Header().Del("Content-Length")
	f.writeHeader(q.w, q.request, answer.Status)
}

// writeEvent sends one event to the client, after the header if it is the first.
func (f *Front) writeEvent(q *routedRequest, answer *backend.Answer, event []byte) *backend.Error {
	if !q.headerSent {
		f.beginStream(q, answer)
	}
	f.extendWriteDeadline(q.w)
	control := http.NewResponseController(q.w)
	_, err := q.w.Write(event)
	if err = errors.Join(err, control.Flush()); err != nil {
		q.cancel(errCallerIO)
		return answer.ClassifyError(err)
	}
	return nil
}

// recordEvent records an event that was forwarded: its ID, time and tokens.
func (q *routedRequest) recordEvent(lease grant.Lease, id int) {
	q.eventCount++
	q.lastEventID = id
	at := now()
	if q.span.timeToFirstToken == 0 {
		q.span.timeToFirstToken = at.Sub(q.span.startedAt)
	}
	if q.outcome.timeToFirstToken == 0 {
		q.outcome.timeToFirstToken = at.Sub(q.outcome.grantedAt)
	} else {
		q.outcome.longestGap = max(q.outcome.longestGap, at.Sub(q.lastTokenAt))
	}
	q.lastTokenAt = at
	q.outcome.outputTokens += q.eventTokens()
	lease.Progress(q.outcome.outputTokens-q.span.priorOutputTokens, q.span.timeToFirstToken)
}

// eventTokens returns the number of tokens in one event of the model.
func (q *routedRequest) eventTokens() int { return max(1, q.policy.Models[q.target].EventTokens) }

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
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var (
	eventID      = []byte("id:")
	errOutOfTurn = errors.New("an event is missing or comes twice")
	errLongEvent = errors.New("an event exceeds the bound")
)

// passEvents passes the events of a stream on as they come, each as a whole. A
// stream that goes on from another server keeps the header of the first.
func (f *Front) passEvents(q *routed, lease grant.Lease, answer *backend.Answer) *backend.Error {
	reader := bufio.NewReader(answer)
	for {
		event, err := readEvent(reader)
		if err == io.EOF && len(event) == 0 {
			break
		}
		if err != nil {
			failure := answer.ClassifyError(unexpected(err))
			answer.Cancel()
			return failure
		}
		id, numbered := idOf(event)
		if numbered && id != q.lastEvent+1 {
			answer.Cancel()
			return answer.MalformedError(errOutOfTurn)
		}
		if failure := f.writeEvent(q, answer, event); failure != nil {
			answer.Cancel()
			return failure
		}
		q.noteEvent(lease, id)
	}
	if !q.began {
		f.beginStream(q, answer)
	}
	answer.Close(&f.relay)
	return nil
}

// unexpected returns the error of a stream that ends within an event.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readEvent reads the bytes of one event, to the empty line that ends it.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for len(event) <= maxEventBytes {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
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
	return event, errLongEvent
}

// idOf returns the id of an event, if it has one.
func idOf(event []byte) (int, bool) {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, eventID); ok {
			id, err := strconv.Atoi(string(bytes.TrimSpace(rest)))
			return id, err == nil
		}
	}
	return 0, false
}

// beginStream sends the header of a stream.
func (f *Front) beginStream(q *routed, answer *backend.Answer) {
	q.began = true
	q.copyHeader(answer.Header)
	q.w.Header().Del("Content-Length")
	f.writeHeader(q.w, q.request, answer.Status)
}

func (f *Front) writeEvent(q *routed, answer *backend.Answer, event []byte) *backend.Error {
	if !q.began {
		f.beginStream(q, answer)
	}
	control := http.NewResponseController(q.w)
	_, err := q.w.Write(event)
	if err = errors.Join(err, control.Flush()); err != nil {
		q.cancel(errCallerIO)
		return answer.ClassifyError(err)
	}
	return nil
}

// noteEvent counts an event that was passed on.
func (q *routed) noteEvent(lease grant.Lease, id int) {
	q.events++
	q.lastEvent = id
	at := now()
	if q.span.firstToken == 0 {
		q.span.firstToken = at.Sub(q.span.began)
	}
	if q.outcome.firstToken == 0 {
		q.outcome.firstToken = at.Sub(q.outcome.granted)
	} else {
		q.outcome.longestGap = max(q.outcome.longestGap, at.Sub(q.lastToken))
	}
	q.lastToken = at
	q.outcome.outputTokens += q.eventTokens()
	lease.Progress(q.outcome.outputTokens-q.span.outputTokens, q.span.firstToken)
}

// eventTokens returns how many tokens an event of the model holds.
func (q *routed) eventTokens() int { return max(1, q.policy.Models[q.target].EventTokens) }

package front

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"mimosafront/internal/apierror"
	"mimosafront/internal/backend"
)

// streamSink sends an answer to the caller as server-sent events. Only a complete
// answer ends with the [DONE] event and a regular end of the body; any other ends with
// an error event and an aborted connection.
type streamSink struct {
	front      *Front
	writer     http.ResponseWriter
	control    *http.ResponseController
	request    *request
	headerSent bool
	buffer     bytes.Buffer
}

func newStreamSink(f *Front, w http.ResponseWriter, q *request) *streamSink {
	return &streamSink{
		front:   f,
		writer:  w,
		control: http.NewResponseController(w),
		request: q,
	}
}

func (s *streamSink) begin(server string) {
	s.headerSent = true
	header := s.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("Trailer", HeaderVerdict)
	header.Set(HeaderServer, server)
	s.front.writeHeader(s.writer, s.request, http.StatusOK)
}

func (s *streamSink) chunk(c backend.Chunk) *backend.Error {
	err := s.writeEvent("", c.Data)
	if err == nil {
		return nil
	}
	s.request.cancel(errCallerIO)
	return &backend.Error{Kind: backend.KindCancelled, Sent: true, Server: s.request.outcome.server, Cause: err}
}

func (s *streamSink) finish() *apierror.Error {
	err := s.writeEvent("", "[DONE]")
	s.writer.Header().Set(HeaderVerdict, string(s.request.outcome.verdict))
	if err == nil {
		return nil
	}
	s.request.cancel(errCallerIO)
	return s.request.contextError(s.request.outcome.verdict)
}

// fail refuses the request if nothing was sent yet. Otherwise it ends the stream with
// an error event and aborts the connection.
func (s *streamSink) fail(err *apierror.Error) {
	if !s.headerSent {
		s.front.refuse(s.writer, s.request, err)
		return
	}
	s.request.fail(err)
	body, encodeErr := json.Marshal(err.Body())
	if encodeErr == nil {
		_ = s.writeEvent("error", string(body))
	}
	panic(http.ErrAbortHandler)
}

// writeEvent writes one event and flushes it.
func (s *streamSink) writeEvent(kind, data string) error {
	s.buffer.Reset()
	if kind != "" {
		s.buffer.WriteString("event: " + kind + "\n")
	}
	for line := range strings.SplitSeq(data, "\n") {
		s.buffer.WriteString("data: ")
		s.buffer.WriteString(line)
		s.buffer.WriteByte('\n')
	}
	s.buffer.WriteByte('\n')
	s.front.extendWriteDeadline(s.writer)
	if _, err := s.writer.Write(s.buffer.Bytes()); err != nil {
		return err
	}
	return s.control.Flush()
}

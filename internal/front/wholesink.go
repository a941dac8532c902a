package front

import (
	"encoding/json"
	"errors"
	"net/http"

	"mimosafront/internal/apierror"
	"mimosafront/internal/backend"
	"mimosafront/internal/memlimit"
	"mimosafront/internal/verdict"
)

// maxAnswerBytes limits the total size of the chunks of an answer that is assembled in
// memory.
const maxAnswerBytes = 16 << 20

var errAnswerTooLong = errors.New("the answer exceeds the size limit of unstreamed answers")

// wholeSink assembles an answer in memory and sends it as one body when it is complete.
type wholeSink struct {
	front    *Front
	writer   http.ResponseWriter
	request  *request
	assembly assembly
	bytes    int
	memory   *memlimit.Reservation
}

func newWholeSink(f *Front, w http.ResponseWriter, q *request) *wholeSink {
	return &wholeSink{front: f, writer: w, request: q, memory: f.answerMemory.Reserve()}
}

func (s *wholeSink) begin(server string) { s.writer.Header().Set(HeaderServer, server) }

func (s *wholeSink) chunk(c backend.Chunk) *backend.Error {
	s.bytes += len(c.Data)
	var err error
	switch {
	case s.bytes > maxAnswerBytes:
		err = errAnswerTooLong
	case !s.memory.Cover(s.bytes):
		err = memlimit.ErrNoMemory
	default:
		err = s.assembly.add(c.Data)
	}
	if err == nil {
		return nil
	}
	return &backend.Error{Kind: backend.KindMalformed, Sent: true, Server: s.request.outcome.server, Cause: err}
}

func (s *wholeSink) finish() *apierror.Error {
	body, err := json.Marshal(s.assembly.completion())
	if err != nil {
		return apierror.New(apierror.CodeInternal, verdict.Ran, "the answer can't be encoded").WithCause(err)
	}
	s.writer.Header().Set("Content-Type", "application/json")
	s.front.writeBody(s.writer, s.request, http.StatusOK, body)
	return nil
}

// release frees the memory of the answer.
func (s *wholeSink) release() { s.memory.Release() }

func (s *wholeSink) fail(err *apierror.Error) { s.front.refuse(s.writer, s.request, err) }

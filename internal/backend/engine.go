package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"iter"
	"net/http"
	"net/url"
	"strings"
	"time"

	"mimosafront/internal/memlimit"
	"mimosafront/internal/policy"
)

const (
	// maxResumes limits the attempts to resume a broken stream.
	maxResumes = 2
	// resumeDelay is the wait before the next attempt when a new connection breaks
	// at once: a crashing server may close its listener last.
	resumeDelay = 50 * time.Millisecond
	// cancelTimeout limits the call that cancels a request on an engine.
	cancelTimeout = 2 * time.Second
)

// Engine is a client for the OpenAI-style protocol of language-model engines.
type Engine struct {
	Dialer Dialer
}

// Completion is a request for a streamed completion.
type Completion struct {
	// ID identifies the request and is unique in the fleet.
	ID string
	// Body is the JSON body; it must request a streamed answer.
	Body []byte
}

// Stream is the answer to a Completion while it is received.
type Stream struct {
	engine *Engine
	conn   *Conn
	id     string
	body   *progressReader
	// chunkID is the id of the first chunk; idEchoed is set if the header carried the
	// request's id.
	chunkID  string
	idEchoed bool
	// answered is set once a header with status 200 was received.
	answered bool
	// tokens is the number of chunks received that carry output.
	tokens int
	// finished is set once a chunk completed a choice.
	finished bool
	// resumes is the number of attempts to resume.
	resumes int
}

// Dispatch sends a completion on a connection and reads the header of the answer.
// The returned stream owns the connection; on an error the connection is closed.
func (e *Engine) Dispatch(conn *Conn, c Completion) (*Stream, *Error) {
	request := newRequest(http.MethodPost, conn.server, "/v1/chat/completions", c.ID, c.Body)
	request.Header.Set("Accept", "text/event-stream")
	s := &Stream{engine: e, conn: conn, id: c.ID}
	response, err := conn.exchange(request)
	if err == nil {
		err = s.accept(conn, response)
	}
	if err == nil {
		return s, nil
	}
	if resumable(err) {
		if resumeErr := s.resume(err); resumeErr == nil {
			return s, nil
		} else {
			err = resumeErr
		}
	}
	s.conn.Close()
	return nil, err
}

// accept checks a response's request id and status, and takes its body.
func (s *Stream) accept(conn *Conn, response *http.Response) *Error {
	id := response.Header.Get(HeaderRequestID)
	if id != "" && id != s.id {
		return conn.newError(KindForeign, fmt.Errorf("answer carries the request id %q", id))
	}
	s.idEchoed = id != ""
	if response.StatusCode != http.StatusOK {
		err := conn.newError(KindRejected, nil)
		err.Status = response.StatusCode
		return err
	}
	s.body.release()
	s.body = &progressReader{source: response.Body, left: maxSilentBytes, memory: conn.memory.Reserve()}
	s.answered = true
	return nil
}

// maxSilentBytes limits what a stream holds between two chunks: comments, empty lines and
// one event of the maximum size.
const maxSilentBytes = 2 * maxEventBytes

var errNoChunk = errors.New("the stream goes on without a chunk")

// progressReader fails after maxSilentBytes without a call of progress, or if no memory is
// left for what it has read since then.
type progressReader struct {
	source io.Reader
	left   int
	memory *memlimit.Reservation
}

func (r *progressReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, malformedError{errNoChunk}
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	if !r.memory.Cover(maxSilentBytes - r.left) {
		return 0, malformedError{memlimit.ErrNoMemory}
	}
	return n, err
}

// progress records that a chunk arrived.
func (r *progressReader) progress() {
	r.left = maxSilentBytes
	r.memory.Release()
}

// release frees the memory. It may be called on nil.
func (r *progressReader) release() {
	if r != nil {
		r.memory.Release()
	}
}

// checkID returns an error for a chunk of another request. An engine identifies the
// request by the header or by the id of the chunks, which ends in the request's id and
// may have a prefix. All chunks of a stream must carry the same id.
func (s *Stream) checkID(chunk Chunk) *Error {
	if s.chunkID == "" {
		s.chunkID = chunk.ID
	}
	if chunk.ID != s.chunkID || !s.idEchoed && !strings.HasSuffix(chunk.ID, s.id) {
		return s.conn.newError(KindForeign, fmt.Errorf("chunk carries the id %q", chunk.ID))
	}
	return nil
}

// Close ends the stream and its connection.
func (s *Stream) Close() {
	s.body.release()
	s.conn.Close()
}

// Server returns the backend server that runs the request.
func (s *Stream) Server() policy.Server { return s.conn.server }

// Chunks yields the chunks of the answer in order, each once. After a broken or
// timed-out connection, the stream is resumed on a new connection to the same server.
// If the answer is incomplete, the last pair carries an error of type *Error.
func (s *Stream) Chunks() iter.Seq2[Chunk, error] {
	return func(yield func(Chunk, error) bool) {
		for {
			err, stopped := s.yieldChunks(yield)
			if stopped || err == nil {
				return
			}
			if resumable(err) {
				err = s.resume(err)
			}
			if err != nil {
				yield(Chunk{}, err)
				return
			}
		}
	}
}

// yieldChunks yields chunks until the stream ends or fails, or the consumer stops.
func (s *Stream) yieldChunks(yield func(Chunk, error) bool) (failure *Error, stopped bool) {
	for chunk, err := range readChunks(s.body) {
		if err != nil {
			return s.classifyReadError(err), false
		}
		if err := s.checkID(chunk); err != nil {
			return err, false
		}
		s.body.progress()
		if chunk.Token {
			s.tokens++
		}
		s.finished = s.finished || chunk.Finished
		if !yield(chunk, nil) {
			return nil, true
		}
	}
	if !s.finished {
		return s.conn.newError(KindMalformed, errors.New("end marker without a finish reason")), false
	}
	return nil, false
}

func (s *Stream) classifyReadError(err error) *Error {
	var malformed malformedError
	if errors.As(err, &malformed) {
		return s.conn.newError(KindMalformed, err)
	}
	return s.conn.classifyIOError(err)
}

// resumable reports whether a new connection may continue the answer.
func resumable(err *Error) bool {
	return err.Sent && (err.Kind == KindBroken || err.Kind == KindSilent)
}

// resume continues the answer on a new connection to the same server. The attempt
// also shows whether the server still has the request; a new connection that breaks at
// once shows nothing, and the attempt is repeated up to maxResumes times per stream.
// resume returns the failure to report if the answer can't be continued.
func (s *Stream) resume(failure *Error) *Error {
	ctx := s.conn.ctx
	for s.resumes < maxResumes {
		s.resumes++
		err := s.reattach(ctx)
		if err == nil {
			return nil
		}
		if err.Kind != KindBroken || s.resumes == maxResumes || !sleepContext(ctx, resumeDelay) {
			return s.joinResumeError(ctx, failure, err)
		}
	}
	return failure
}

// reattach makes one attempt to continue the answer after the last token received.
func (s *Stream) reattach(ctx context.Context) *Error {
	server := s.conn.server
	conn, err := s.engine.Dialer.Connect(ctx, server)
	if err != nil {
		return err
	}
	path := fmt.Sprintf("/v1/requests/%s/stream?after=%d", url.PathEscape(s.id), s.tokens)
	response, err := conn.exchange(newRequest(http.MethodGet, server, path, s.id, nil))
	if err == nil {
		err = s.accept(conn, response)
	}
	if err != nil {
		conn.Close()
		return err
	}
	s.conn.Close()
	s.conn = conn
	return nil
}

// sleepContext waits for d and reports false if ctx ended first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// joinResumeError combines the errors of the broken connection and of the attempt to
// resume, and derives the kind of failure from both.
func (s *Stream) joinResumeError(ctx context.Context, failure, resume *Error) *Error {
	joined := *failure
	joined.Cause = errors.Join(failure.Cause, resume)
	switch {
	case ctx.Err() != nil:
		joined.Kind = KindCancelled
		joined.Cause = context.Cause(ctx)
	case resume.Kind == KindForeign:
		joined.Kind = KindForeign
	case failure.Kind == KindBroken && s.lostRequest(resume):
		joined.Kind = KindCrashed
	}
	return &joined
}

// lostRequest reports whether a failed attempt to resume shows that the server lost
// the request: it accepts no connection, or answers 404 for a request that it had
// begun to answer.
func (s *Stream) lostRequest(err *Error) bool {
	if err.Kind == KindRejected {
		return s.answered && err.Status == http.StatusNotFound
	}
	return err.Kind == KindConnect
}

// Cancel asks an engine to stop a request. Errors are ignored: the engine also notices
// when the request's connection is closed.
func (e *Engine) Cancel(server policy.Server, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	path := "/v1/requests/" + url.PathEscape(id) + "/cancel"
	_, _ = e.call(ctx, newRequest(http.MethodPost, server, path, id, nil), server, 0)
}

// call sends a request on a separate connection and returns up to limit bytes of the
// answer's body.
func (e *Engine) call(ctx context.Context, r *http.Request, server policy.Server, limit int64) ([]byte, *Error) {
	conn, err := e.Dialer.Connect(ctx, server)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	response, err := conn.exchange(r)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		err := conn.newError(KindRejected, nil)
		err.Status = response.StatusCode
		return nil, err
	}
	body, readErr := io.ReadAll(io.LimitReader(response.Body, limit))
	if readErr != nil {
		return nil, conn.classifyIOError(readErr)
	}
	return body, nil
}

// newRequest builds a request to a backend server.
func newRequest(method string, server policy.Server, path, id string, body []byte) *http.Request {
	target, err := url.Parse("http://" + server.Address + path)
	if err != nil {
		target = &url.URL{Scheme: "http", Host: server.Address, Path: path}
	}
	request := &http.Request{
		Method: method,
		URL:    target,
		Host:   server.Address,
		Header: http.Header{HeaderRequestID: {id}, "User-Agent": {"mimosafront"}},
	}
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
		request.Header.Set("Content-Type", "application/json")
	}
	return request
}

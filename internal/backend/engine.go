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

	"mimosafront/internal/policy"
)

const (
	// maxResumes bounds how often a broken stream is resumed.
	maxResumes = 2
	// resumeDelay is the wait after a fresh connection that broke at once: a
	// server that crashes may close its listener last.
	resumeDelay = 50 * time.Millisecond
	// cancelTimeout bounds the call that cancels a request on an engine.
	cancelTimeout = 2 * time.Second
)

// Engine speaks the OpenAI-style protocol of language-model engines.
type Engine struct {
	Dialer Dialer
}

// Completion is a request for a streamed completion.
type Completion struct {
	// ID identifies the request in the whole fleet.
	ID string
	// Body is the JSON body; it must ask for a stream.
	Body []byte
}

// Stream is the running answer to a Completion.
type Stream struct {
	engine   *Engine
	conn     *Conn
	id       string
	body     io.Reader
	chunkID  string
	idEchoed bool
	answered bool
	tokens   int
	finished bool
	resumes  int
}

// Dispatch sends a completion on a connection and reads the header of the
// answer. The stream owns the connection afterwards; on an error it is closed.
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
		if fresh := s.resume(err); fresh == nil {
			return s, nil
		} else {
			err = fresh
		}
	}
	s.conn.Close()
	return nil, err
}

// accept checks that a response answers this request.
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
	s.body = response.Body
	s.answered = true
	return nil
}

// checkID fails for a chunk that belongs to another request. An engine shows
// which request it answers in the header or in the chunks' id, which may have a
// prefix.
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
func (s *Stream) Close() { s.conn.Close() }

// Server returns the backend server that runs the request.
func (s *Stream) Server() policy.Server { return s.conn.server }

// Chunks yields the chunks of the answer in order, each once. A broken or
// silent connection is resumed on the same server. The last pair carries an
// error of type *Error unless the answer is whole.
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

// yieldChunks yields chunks until the stream ends, breaks, or the reader stops.
func (s *Stream) yieldChunks(yield func(Chunk, error) bool) (failure *Error, stopped bool) {
	for chunk, err := range readChunks(s.body) {
		if err != nil {
			return s.classifyReadError(err), false
		}
		if err := s.checkID(chunk); err != nil {
			return err, false
		}
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

// resumable reports whether a fresh connection may continue the answer.
func resumable(err *Error) bool {
	return err.Sent && (err.Kind == KindBroken || err.Kind == KindSilent)
}

// resume continues the answer on a fresh connection to the same server. The
// fresh connection also proves whether the server is alive; one that breaks at
// once proves nothing and is tried again. It returns the failure to report if
// the answer can't be continued.
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

// reattach makes one attempt to continue the answer.
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

// sleepContext waits and reports whether ctx goes on.
func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// joinResumeError joins what the broken connection and the fresh one say of
// the server.
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

// lostRequest reports whether the server has lost a request: it refuses
// connections, or doesn't know a request that it had begun to answer.
func (s *Stream) lostRequest(err *Error) bool {
	if err.Kind == KindRejected {
		return s.answered && err.Status == http.StatusNotFound
	}
	return err.Kind == KindConnect
}

// Cancel tells an engine to stop a request. It is best effort: the engine also
// notices that the connection is closed.
func (e *Engine) Cancel(server policy.Server, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	path := "/v1/requests/" + url.PathEscape(id) + "/cancel"
	_, _ = e.call(ctx, newRequest(http.MethodPost, server, path, id, nil), server, 0)
}

// call makes a short call on a connection of its own and returns up to limit
// bytes of the answer.
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

package front

import (
	"net/http"
	"time"

	"mimosafront/internal/apierror"
	"mimosafront/internal/backend"
	"mimosafront/internal/grant"
	"mimosafront/internal/message"
	"mimosafront/internal/sleep"
	"mimosafront/internal/verdict"
)

// crashReportDelay delays the error of a request whose backend server crashed. The
// crash report reaches the coordinators of all zones before the caller can retry
// through another entry host.
const crashReportDelay = 200 * time.Millisecond

// serveChat answers POST /v1/chat/completions.
func (f *Front) serveChat(w http.ResponseWriter, r *http.Request) {
	q, err := f.begin(r)
	defer f.end(q)
	if err != nil {
		f.refuse(w, q, err)
		return
	}
	chat, err := f.readChat(w, r, q)
	if err != nil {
		f.refuse(w, q, err)
		return
	}
	var sink sink
	if chat.Stream {
		sink = newStreamSink(f, w, q)
	} else {
		whole := newWholeSink(f, w, q)
		defer whole.release()
		sink = whole
	}
	if err := f.complete(q, chat, sink); err != nil {
		sink.fail(err)
	}
}

// readChat reads and checks the body of a chat completion request.
func (f *Front) readChat(w http.ResponseWriter, r *http.Request, q *request) (*chatRequest, *apierror.Error) {
	if err := q.setDeadline(r.Header, q.tier.DeadlineMs); err != nil {
		return nil, err
	}
	body, err := f.readBody(w, r, q)
	if err != nil {
		return nil, err
	}
	chat, err := parseChat(body)
	if err != nil {
		return nil, err
	}
	model, known := q.policy.Models[chat.Model]
	if err := q.setTarget(chat.Model, known); err != nil {
		return nil, err
	}
	q.work, err = chat.work(model)
	return chat, err
}

// sink writes an answer to the caller.
type sink interface {
	// begin is called after the dispatch, before the first chunk.
	begin(server string)
	// chunk writes one chunk of the answer, or returns the error that ends the answer.
	chunk(c backend.Chunk) *backend.Error
	// finish is called when the answer is complete.
	finish() *apierror.Error
	// fail ends the answer with an error. It may be called at any time before finish.
	fail(err *apierror.Error)
}

// complete runs a chat completion. The returned error has not been sent to the caller.
func (f *Front) complete(q *request, chat *chatRequest, sink sink) *apierror.Error {
	body, encodeErr := chat.engineBody()
	if encodeErr != nil {
		return apierror.New(apierror.CodeInternal, verdict.NotRun, "the request can't be encoded").WithCause(encodeErr)
	}
	use := newLeaseUse(q.ctx)
	defer func() { use.end() }()
	lease, conn, err := f.acquireAndDispatch(use.ctx, q)
	if err != nil {
		return err
	}
	use.begin(lease)
	stream, failure := f.engine.Dispatch(conn, backend.Completion{ID: q.id, Body: body})
	if failure == nil {
		defer stream.Close()
		q.gaps = f.config.Metrics.Gaps(q.tier.Name)
		sink.begin(lease.Server().Name)
		use, failure = f.forwardWithParking(q, use, stream, sink)
	}
	if failure == nil {
		q.outcome.verdict = verdict.Ran
		err = sink.finish()
		use.release(q, message.ReleaseOutcomeFinished)
		return err
	}
	return f.abort(q, use, failure)
}

// forwardWithParking forwards an answer to its end. Each time the grant is revoked, it
// parks the request if the backend server can hold it. It returns the last lease.
func (f *Front) forwardWithParking(q *request, use *leaseUse, stream *backend.Stream, sink sink) (*leaseUse, *backend.Error) {
	failure := f.forwardChunks(q, use.lease, stream, sink)
	for failure != nil && use.parkable(q, failure) {
		next := f.park(q, use, stream)
		if next == nil {
			break
		}
		use = next
		failure = f.forwardChunks(q, use.lease, stream, sink)
	}
	return use, failure
}

// abort releases the lease of a request whose answer is incomplete, cancels it on the
// engine if needed, and returns the error for the caller.
func (f *Front) abort(q *request, use *leaseUse, failure *backend.Error) *apierror.Error {
	if failure.Kind == backend.KindCancelled && use.revoked() {
		q.cancel(errRevoked)
	}
	q.outcome.verdict = failure.Verdict()
	if failure.Kind == backend.KindCancelled && failure.Sent {
		f.cancelOnServer(use.lease, q.id)
	}
	outcome := q.releaseOutcome(failure)
	use.release(q, outcome)
	if outcome == message.ReleaseOutcomeServerCrashed {
		sleep.For(q.ctx, crashReportDelay)
	}
	return q.failureError(failure)
}

// cancelOnServer cancels a request on the engine in the background, so that the caller
// does not wait for it.
func (f *Front) cancelOnServer(lease grant.Lease, id string) {
	server := lease.Server()
	f.background.Go(func() { f.engine.Cancel(server, id) })
}

// forwardChunks forwards the chunks of an answer to the sink as they arrive.
func (f *Front) forwardChunks(q *request, lease grant.Lease, stream *backend.Stream, sink sink) *backend.Error {
	for chunk, err := range stream.Chunks() {
		if err != nil {
			return err.(*backend.Error)
		}
		q.recordChunk(chunk)
		if chunk.Token {
			lease.Progress(q.outcome.outputTokens-q.span.priorOutputTokens, q.span.timeToFirstToken)
		}
		if err := sink.chunk(chunk); err != nil {
			return err
		}
	}
	return nil
}

// recordChunk records the tokens and the usage that a chunk reports.
func (q *request) recordChunk(chunk backend.Chunk) {
	if chunk.Token {
		q.recordToken(now())
	}
	if chunk.Usage != nil {
		q.work.promptTokens = chunk.Usage.PromptTokens
		q.outcome.outputTokens = chunk.Usage.CompletionTokens
		q.outcome.cachedTokens = chunk.Usage.PromptTokensDetails.CachedTokens
	}
}

// recordToken records the arrival of one output token: the time to the first token, or
// the gap since the last one.
func (q *request) recordToken(at time.Time) {
	q.outcome.outputTokens++
	if q.span.timeToFirstToken == 0 {
		q.span.timeToFirstToken = at.Sub(q.span.startedAt)
	}
	if q.outcome.timeToFirstToken == 0 {
		q.outcome.timeToFirstToken = at.Sub(q.outcome.grantedAt)
	} else {
		q.gaps.RecordDuration(at.Sub(q.lastTokenAt))
	}
	q.lastTokenAt = at
}

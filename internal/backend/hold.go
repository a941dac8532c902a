package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"
)

const (
	// holdTimeout bounds the call that makes an engine hold a request.
	holdTimeout = time.Second
	// maxHoldAnswerBytes bounds the answer to that call, in bytes.
	maxHoldAnswerBytes = 4 << 10
)

// The outcomes of a call that makes an engine hold a request. Any other means
// that the engine has dropped it.
const (
	OutcomeHeld     = "held"
	OutcomeFinished = "finished"
)

// HoldResult says what became of a request and how much of it was computed.
type HoldResult struct {
	Outcome         string `json:"outcome"`
	PromptTokens    int    `json:"prompt_tokens"`
	PrefilledTokens int    `json:"prefilled_tokens"`
	OutputTokens    int    `json:"output_tokens"`
}

// Hold makes the engine stop to compute the request and keep its state for a
// time. The connection of the stream is closed; Resume opens another one. On an
// error the request may still run on the engine. An engine that lacks the memory
// to hold the request cancels it.
func (s *Stream) Hold(ctx context.Context) (HoldResult, *Error) {
	s.conn.Close()
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	server := s.conn.server
	path := "/v1/requests/" + url.PathEscape(s.id) + "/cancel?hold=true"
	body, err := s.engine.call(ctx, newRequest(http.MethodPost, server, path, s.id, nil), server, maxHoldAnswerBytes)
	if err != nil {
		return HoldResult{}, err
	}
	var held HoldResult
	if err := json.Unmarshal(body, &held); err != nil {
		return HoldResult{}, s.conn.newError(KindMalformed, err)
	}
	return held, nil
}

// Resume lets the engine go on with the request that it holds, and continues
// the stream after the last chunk that Chunks yielded. Nothing is sent that
// could start a run: an engine that has dropped the request refuses.
func (s *Stream) Resume(ctx context.Context) *Error {
	s.resumes = 0
	return s.reattach(ctx)
}

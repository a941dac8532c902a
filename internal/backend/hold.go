package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"
)

const (
	// holdTimeout limits the call that makes an engine hold a request.
	holdTimeout = time.Second
	// maxHoldAnswerBytes limits the answer to that call, in bytes.
	maxHoldAnswerBytes = 4 << 10
)

// Outcomes of a call that makes an engine hold a request. Any other outcome means that
// the engine dropped the request.
const (
	OutcomeHeld     = "held"
	OutcomeFinished = "finished"
)

// HoldResult is an engine's answer to a hold: the outcome, and the tokens of the
// request that were computed until then.
type HoldResult struct {
	Outcome         string `json:"outcome"`
	PromptTokens    int    `json:"prompt_tokens"`
	PrefilledTokens int    `json:"prefilled_tokens"`
	OutputTokens    int    `json:"output_tokens"`
}

// Hold makes the engine stop computing the request and keep its state for a limited
// time. It closes the stream's connection; Resume opens a new one. On an error the request may
// still be running on the engine. An engine without memory to hold the request cancels
// it.
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

// Resume makes the engine continue a held request, and continues the stream after the
// last chunk that Chunks yielded. It can't start a second run: an engine that dropped
// the request rejects the call.
func (s *Stream) Resume(ctx context.Context) *Error {
	s.resumes = 0
	return s.reattach(ctx)
}

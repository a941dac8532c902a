package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

var words = strings.Fields(`amber bronze cartouche delta engraved fountain gilded harbour
	inscription jasper kiln laurel mimosa nickel obverse plate quarry reverse silver
	tessera umber vellum willow xylograph yew zinc`)

// Token returns the n-th token of the answer to the prompt whose hash is seed.
// Answers to different prompts differ.
func Token(seed uint64, n int) string {
	mixed := (seed + uint64(n)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return words[(mixed>>32)%uint64(len(words))] + " "
}

// Answer returns the whole text of an answer of n tokens.
func Answer(seed uint64, n int) string {
	var text strings.Builder
	for i := range n {
		text.WriteString(Token(seed, i))
	}
	return text.String()
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	PromptTokens        int `json:"prompt_tokens"`
	CompletionTokens    int `json:"completion_tokens"`
	TotalTokens         int `json:"total_tokens"`
	PromptTokensDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type completion struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	// SystemFingerprint names the version.
	SystemFingerprint string   `json:"system_fingerprint,omitempty"`
	Choices           []choice `json:"choices"`
	Usage             *usage   `json:"usage,omitempty"`
}

const (
	objectChunk = "chat.completion.chunk"
	objectWhole = "chat.completion"
)

func (s *sequence) completion(object string, c choice) completion {
	return completion{ID: s.id, Object: object, Created: time.Now().Unix(), Model: s.model, SystemFingerprint: s.version, Choices: []choice{c}}
}

// usage must be called after the sequence finished.
func (s *sequence) usage() *usage {
	u := &usage{PromptTokens: s.prompt, CompletionTokens: s.generated, TotalTokens: s.prompt + s.generated}
	u.PromptTokensDetails.CachedTokens = s.cached
	return u
}

// finishStop is the finish reason of every whole answer.
var finishStop = "stop"

// attach makes the caller the only reader of a sequence and returns its number.
// A held sequence goes on.
func (e *Engine) attach(s *sequence) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.reader++
	s.lost = time.Time{}
	e.goOn(s)
	s.signal()
	return s.reader
}

// detach records that the connection of a reader broke. The request runs on for
// the resume window.
func (e *Engine) detach(s *sequence, reader int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.reader == reader {
		s.lost = time.Now()
	}
}

// progress returns the tokens generated and the outcome; ok is false for a
// reader that was replaced.
func (e *Engine) progress(s *sequence, reader int) (generated int, outcome Outcome, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.generated, s.outcome, s.reader == reader
}

func (e *Engine) delivered(s *sequence, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := &e.journal.entries[s.entry]
	entry.DeliveredTokens = max(entry.DeliveredTokens, n)
}

// stream writes the tokens from number sent on as they are generated. A request
// that was cancelled or crashed ends without the end marker.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, sent int) {
	reader := e.attach(s)
	defer e.detach(s, reader)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	for {
		generated, outcome, ok := e.progress(s, reader)
		if !ok || outcome == OutcomeCrashed {
			// The signal may have been meant for the reader that replaced this one.
			s.signal()
			panic(http.ErrAbortHandler)
		}
		if sent < generated {
			if !e.writeTokens(w, s, sent, generated) {
				return
			}
			sent = generated
		}
		if outcome == OutcomeFinished {
			writeEnd(w, s)
			return
		}
		if outcome == OutcomeCancelled || outcome == OutcomeHeld {
			return
		}
		select {
		case <-s.updated:
		case <-r.Context().Done():
			return
		case <-e.done:
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Engine) writeTokens(w http.ResponseWriter, s *sequence, from, to int) bool {
	var buffer bytes.Buffer
	for n := from; n < to; n++ {
		chunk := s.completion(objectChunk, choice{Delta: &delta{Content: Token(s.seed, n)}})
		writeEvent(&buffer, chunk)
	}
	if _, err := w.Write(buffer.Bytes()); err != nil {
		return false
	}
	flush(w)
	e.delivered(s, to)
	return true
}

func writeEnd(w http.ResponseWriter, s *sequence) {
	var buffer bytes.Buffer
	last := s.completion(objectChunk, choice{Delta: &delta{}, FinishReason: &finishStop})
	last.Usage = s.usage()
	writeEvent(&buffer, last)
	buffer.WriteString("data: [DONE]\n\n")
	_, _ = w.Write(buffer.Bytes())
	flush(w)
}

func writeEvent(buffer *bytes.Buffer, chunk completion) {
	buffer.WriteString("data: ")
	// The encoder ends the line; a second newline ends the event.
	_ = json.NewEncoder(buffer).Encode(chunk)
	buffer.WriteString("\n")
}

func flush(w http.ResponseWriter) {
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}

// whole waits for the end and writes the answer as one body.
func (e *Engine) whole(w http.ResponseWriter, r *http.Request, s *sequence) {
	reader := e.attach(s)
	defer e.detach(s, reader)
	for {
		_, outcome, ok := e.progress(s, reader)
		if !ok || outcome == OutcomeCrashed {
			s.signal()
			panic(http.ErrAbortHandler)
		}
		if outcome == OutcomeCancelled || outcome == OutcomeHeld {
			writeError(w, http.StatusConflict, "the request was "+string(outcome))
			return
		}
		if outcome == OutcomeFinished {
			e.writeWhole(w, s)
			return
		}
		select {
		case <-s.updated:
		case <-r.Context().Done():
			return
		case <-e.done:
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Engine) writeWhole(w http.ResponseWriter, s *sequence) {
	answer := choice{
		Message:      &delta{Role: "assistant", Content: Answer(s.seed, s.generated)},
		FinishReason: &finishStop,
	}
	body := s.completion(objectWhole, answer)
	body.Usage = s.usage()
	encoded, err := json.Marshal(body)
	if err != nil {
		writeError(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	if _, err := w.Write(encoded); err == nil {
		e.delivered(s, s.generated)
	}
}

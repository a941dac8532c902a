package engine

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"
	"github.com/rs/xid"

	"mimosafront/internal/tokens"
)

// PoisonMarker in a prompt crashes the engine at the request's first token.
const PoisonMarker = "#poison"

// maxBodyBytes bounds a request body.
const maxBodyBytes = 16 << 20

// outputPattern in a prompt sets the length of the answer within max_tokens, as
// a model that decides itself when it is done.
var outputPattern = regexp.MustCompile(`#output=(\d+)`)

// chatRequest is the part of a chat completion request that the engine reads.
type chatRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Version string `json:"version,omitempty"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type eventList struct {
	Events []Event `json:"events"`
}

// cancelReply says what became of a request and how much of it was computed.
type cancelReply struct {
	Outcome         Outcome `json:"outcome"`
	PromptTokens    int     `json:"prompt_tokens"`
	PrefilledTokens int     `json:"prefilled_tokens"`
	OutputTokens    int     `json:"output_tokens"`
}

type errorBody struct {
	Message string `json:"message"`
}

type errorReply struct {
	Error errorBody `json:"error"`
}

func (r chatRequest) prompt() string {
	parts := make([]string, len(r.Messages))
	for i, message := range r.Messages {
		parts[i] = message.Content
	}
	return strings.Join(parts, "\n")
}

func (e *Engine) routes() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodPost, "/v1/chat/completions", e.chat)
	router.POST("/v1/requests/:id/cancel", e.cancel)
	router.GET("/v1/requests/:id/stream", e.resume)
	router.HandlerFunc(http.MethodGet, "/v1/load", e.getLoad)
	router.HandlerFunc(http.MethodGet, "/v1/models", e.getModels)
	router.HandlerFunc(http.MethodPost, "/v1/orders", e.order)
	router.HandlerFunc(http.MethodGet, "/v1/cache-events", e.getEvents)
	router.HandlerFunc(http.MethodGet, "/v1/journal", e.getJournal)
	return router
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil {
		writeError(w, http.StatusBadRequest, "malformed request: "+err.Error())
		return
	}
	id := r.Header.Get(cmp.Or(e.config.RequestIDHeader, "X-Request-Id"))
	if e.config.RequestIDHeader != "" {
		w.Header().Set(e.config.RequestIDHeader, id)
	}
	if id == "" {
		id = xid.New().String()
	}
	s, ok := e.accept(id, request)
	if !ok {
		writeError(w, http.StatusNotFound, "model "+strconv.Quote(request.Model)+" is not loaded")
		return
	}
	if mode := e.endless.currentMode(); mode != EndlessNone {
		e.answerEndlessly(w, s, mode)
		return
	}
	if request.Stream {
		e.stream(w, r, s, 0)
		return
	}
	e.whole(w, r, s)
}

// accept adds a request to the batch and to the journal.
func (e *Engine) accept(id string, request chatRequest) (*sequence, bool) {
	prompt := request.prompt()
	s := &sequence{
		id:      id,
		model:   request.Model,
		seed:    xxhash.Sum64String(prompt),
		blocks:  blockHashes(request.Model, prompt),
		prompt:  tokens.Estimate(prompt),
		output:  e.outputTokens(request.MaxTokens, prompt),
		poison:  strings.Contains(prompt, PoisonMarker),
		outcome: OutcomeRunning,
		updated: make(chan struct{}, 1),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	version, loaded := e.models[request.Model]
	if !loaded && !e.runsAny() {
		return nil, false
	}
	s.version = version
	s.entry = e.journal.add(Entry{
		Kind: KindRequest, ID: id, Model: s.model, Version: version, Seed: s.seed,
		Outcome: OutcomeRunning, PromptTokens: s.prompt,
	})
	e.requests[id] = s
	e.batch.add(s)
	return s, true
}

// runsAny reports whether the engine was made without models and got no order; it
// then runs requests of any.
func (e *Engine) runsAny() bool { return len(e.config.Models) == 0 && !e.ordered }

func (e *Engine) outputTokens(limit int, prompt string) int {
	length := e.config.OutputTokens
	if limit > 0 {
		length = limit
	}
	match := outputPattern.FindStringSubmatch(prompt)
	if match == nil {
		return length
	}
	wanted, err := strconv.Atoi(match[1])
	if err != nil || wanted < 1 || limit > 0 && wanted > limit {
		return length
	}
	return wanted
}

// cancel ends a request, or holds it if the query says hold=true.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.requests[params.ByName("id")]
	if !ok {
		writeError(w, http.StatusNotFound, "unknown request")
		return
	}
	if r.URL.Query().Get("hold") == "true" {
		e.hold(s)
	} else {
		e.end(s, OutcomeCancelled)
	}
	writeJSON(w, cancelReply{
		Outcome: s.outcome, PromptTokens: s.prompt, PrefilledTokens: s.prefilled, OutputTokens: s.generated,
	})
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after < 0 {
		writeError(w, http.StatusBadRequest, "after is not a number of tokens")
		return
	}
	e.mu.Lock()
	s, ok := e.requests[params.ByName("id")]
	e.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "unknown request")
		return
	}
	e.stream(w, r, s, after)
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := e.reports.read(time.Now())
	e.mu.Unlock()
	writeJSON(w, load)
}

func (e *Engine) getModels(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelInfo{}}
	versions := e.Versions()
	for _, name := range slices.Sorted(maps.Keys(versions)) {
		list.Data = append(list.Data, modelInfo{ID: name, Object: "model", Version: versions[name]})
	}
	writeJSON(w, list)
}

func (e *Engine) getEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	e.mu.Lock()
	published := e.events.after(time.Now(), after)
	e.mu.Unlock()
	writeJSON(w, eventList{Events: published})
}

func (e *Engine) getJournal(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/jsonl")
	writeJournal(w, e.Journal())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorReply{Error: errorBody{Message: message}})
}

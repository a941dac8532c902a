package load

import (
	"encoding/json"
	"os"
	"time"
)

// Outcome is what a caller saw of one request.
type Outcome string

// The outcomes of a request.
const (
	// Good answers came whole and within their deadline.
	Good Outcome = "good"
	// Late answers came whole after their deadline.
	Late Outcome = "late"
	// Refused requests ended with the verdict that they were not run.
	Refused Outcome = "refused"
	// Failed requests ended in any other way.
	Failed Outcome = "failed"
	// Wrong answers claim to be whole but are not the request's own.
	Wrong Outcome = "wrong"
	// Unsent requests met the load tool's own bound of requests in flight.
	Unsent Outcome = "unsent"
)

// Record is one request as its caller saw it. Times are in milliseconds from
// the intended time of the request.
type Record struct {
	ID           string  `json:"id,omitempty"`
	AtMs         float64 `json:"at_ms"`
	Measured     bool    `json:"measured"`
	Stream       string  `json:"stream"`
	Group        string  `json:"group"`
	Organisation string  `json:"organisation"`
	Caller       string  `json:"caller"`
	Tier         string  `json:"tier"`
	Service      bool    `json:"service,omitempty"`
	PromptTokens int     `json:"prompt_tokens"`
	OutputTokens int     `json:"output_tokens"`
	Outcome      Outcome `json:"outcome"`
	Status       int     `json:"status,omitempty"`
	Code         string  `json:"code,omitempty"`
	Verdict      string  `json:"verdict,omitempty"`
	Server       string  `json:"server,omitempty"`
	SentMs       float64 `json:"sent_ms"`
	FirstTokenMs float64 `json:"first_token_ms,omitempty"`
	TotalMs      float64 `json:"total_ms"`
	// MaxGapMs is the longest time between two tokens, and LateGaps counts the
	// gaps over GapTarget.
	MaxGapMs float64 `json:"max_gap_ms,omitempty"`
	LateGaps int     `json:"late_gaps,omitempty"`
	// Tokens were received.
	Tokens int `json:"tokens,omitempty"`
	// RetryAfterMs is the delay that the caller was told at a refusal; 0 for none.
	RetryAfterMs float64 `json:"retry_after_ms,omitempty"`
	// Tries counts the attempts. The other fields are those of the last one, but for
	// AtMs.
	Tries int `json:"tries"`
	// RefusedIDs are those of the tries before, which were told that they had not
	// run, and ReturnedMs is when the last try was sent, from the first one's time.
	RefusedIDs []string `json:"refused_ids,omitempty"`
	ReturnedMs float64  `json:"returned_ms,omitempty"`
}

// GapTarget is the time between tokens that 95 in 100 shall keep.
const GapTarget = 33 * time.Millisecond

// FirstTokenTarget is the time to the first token that callers need.
const FirstTokenTarget = 1600 * time.Millisecond

// Journals is what the engines' own journals say of the run.
type Journals struct {
	// Engines that answered.
	Engines int `json:"engines"`
	// Requests run, and those that ran more than once.
	Requests int `json:"requests"`
	Repeated int `json:"repeated"`
	// FalseNotRun counts requests that callers were told had not run.
	FalseNotRun int `json:"false_not_run"`
	// PrefillTokens were computed in all, WastedTokens of them for requests
	// without a whole answer.
	PrefillTokens int `json:"prefill_tokens"`
	WastedTokens  int `json:"wasted_tokens"`
	CachedTokens  int `json:"cached_tokens"`
	OutputTokens  int `json:"output_tokens"`
}

// Result is a whole run.
type Result struct {
	Scenario  string    `json:"scenario"`
	Label     string    `json:"label,omitempty"`
	Seed      uint64    `json:"seed"`
	Skipped   []string  `json:"skipped,omitempty"`
	Started   time.Time `json:"started"`
	DurationS float64   `json:"duration_s"`
	WarmupS   float64   `json:"warmup_s"`
	Tiers     []string  `json:"tiers"`
	Journals  Journals  `json:"journals"`
	Records   []Record  `json:"records"`
}

// MeasuredSeconds is the length of the measured part of the run.
func (r *Result) MeasuredSeconds() float64 { return r.DurationS - r.WarmupS }

// Write stores a result as JSON.
func (r *Result) Write(path string) error {
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// ReadResult reads a result that Write stored.
func ReadResult(path string) (*Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	result := &Result{}
	return result, json.Unmarshal(text, result)
}

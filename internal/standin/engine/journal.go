package engine

import (
	"encoding/json"
	"io"
	"slices"
	"time"
)

// Outcome says how a request ended in the engine.
type Outcome string

// The outcomes of a request.
const (
	OutcomeRunning   Outcome = "running"
	OutcomeHeld      Outcome = "held"
	OutcomeFinished  Outcome = "finished"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeCrashed   Outcome = "crashed"
)

// The kinds of journal entries.
const (
	KindRequest = "request"
	KindOrder   = "order"
)

// Entry is one request or order that the engine received. A request that
// arrives twice has two entries.
type Entry struct {
	Kind  string    `json:"kind"`
	Time  time.Time `json:"time"`
	Model string    `json:"model,omitempty"`
	// Version that the request ran on, or that the order named.
	Version string `json:"version,omitempty"`

	// ID and the fields below belong to a request.
	ID      string  `json:"id,omitempty"`
	Seed    uint64  `json:"seed,omitempty"`
	Outcome Outcome `json:"outcome,omitempty"`
	// Ended is when the request ended; zero while it runs.
	Ended time.Time `json:"ended,omitzero"`
	// PromptTokens is the length of the prompt, of which CachedTokens were
	// cached and PrefillTokens computed.
	PromptTokens  int `json:"prompt_tokens,omitempty"`
	CachedTokens  int `json:"cached_tokens,omitempty"`
	PrefillTokens int `json:"prefill_tokens,omitempty"`
	// OutputTokens were generated and DeliveredTokens written to a connection.
	OutputTokens    int `json:"output_tokens,omitempty"`
	DeliveredTokens int `json:"delivered_tokens,omitempty"`
	// Holds are the times in which the request was held.
	Holds []Hold `json:"holds,omitempty"`

	// Action, Fencing and Accepted belong to an order.
	Action   string `json:"action,omitempty"`
	Fencing  int    `json:"fencing,omitempty"`
	Accepted bool   `json:"accepted,omitempty"`
}

type journal struct{ entries []Entry }

// add appends an entry and returns its index.
func (j *journal) add(e Entry) int {
	e.Time = time.Now()
	j.entries = append(j.entries, e)
	return len(j.entries) - 1
}

// Journal returns a copy of all entries, in the order of arrival.
func (e *Engine) Journal() []Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.batch.all() {
		e.record(s)
	}
	entries := slices.Clone(e.journal.entries)
	for i := range entries {
		entries[i].Holds = slices.Clone(entries[i].Holds)
	}
	return entries
}

// Runs returns the journal's requests by id.
func (e *Engine) Runs() map[string][]Entry {
	runs := map[string][]Entry{}
	for _, entry := range e.Journal() {
		if entry.Kind == KindRequest {
			runs[entry.ID] = append(runs[entry.ID], entry)
		}
	}
	return runs
}

// record brings the journal entry of a sequence up to date.
func (e *Engine) record(s *sequence) {
	entry := &e.journal.entries[s.entry]
	entry.Outcome = s.outcome
	entry.CachedTokens = s.cached
	entry.PrefillTokens = s.prefilled - s.cached
	entry.OutputTokens = s.generated
}

func writeJournal(w io.Writer, entries []Entry) {
	encoder := json.NewEncoder(w)
	for _, entry := range entries {
		if encoder.Encode(entry) != nil {
			return
		}
	}
}

// ReadJournal reads what an engine serves under /v1/journal.
func ReadJournal(r io.Reader) ([]Entry, error) {
	var entries []Entry
	decoder := json.NewDecoder(r)
	for {
		var entry Entry
		err := decoder.Decode(&entry)
		if err == io.EOF {
			return entries, nil
		}
		if err != nil {
			return entries, err
		}
		entries = append(entries, entry)
	}
}

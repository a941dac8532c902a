// Package engine is a stand-in of a model engine. It batches continuously,
// caches prompt prefixes, reports its load late and keeps a journal of all that
// it ran.
//
// It speaks the streamed chat-completion protocol and has no notion of
// priority. It is made for tests and measurements on loopback addresses.
package engine

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mimosafront/internal/standin"
)

// Defaults of Config.
const (
	defaultPrefillTokensPerS = 8000
	defaultDecodeTokensPerS  = 1500
	defaultMinStep           = 10 * time.Millisecond
	defaultStepTokens        = 256
	defaultKVTokens          = 64000
	defaultCacheBlocks       = 1000
	defaultOutputTokens      = 32
	defaultLoadInterval      = 100 * time.Millisecond
	defaultResumeWindow      = 3 * time.Second
	defaultHoldTime          = 30 * time.Second
	defaultHoldTokens        = 32000
	defaultDownTime          = 2 * time.Second
)

// Config describes an engine. Zero fields take defaults.
type Config struct {
	Name   string
	Models []string
	// RequestIDHeader names the header with a request's id, which answers repeat; empty
	// takes X-Request-Id, which they don't.
	RequestIDHeader string
	// Version is the one of the models that are loaded at the start.
	Version string
	// LoadTime is how long a load takes. BrokenVersions can't be loaded.
	LoadTime       time.Duration
	BrokenVersions []string
	// PrefillTokensPerS and DecodeTokensPerS are speeds of the whole batch.
	PrefillTokensPerS float64
	DecodeTokensPerS  float64
	// MinStep is the shortest time of one step of the batch.
	MinStep time.Duration
	// StepTokens is the budget of prefill and decode tokens in one step.
	StepTokens int
	// KVTokens bounds the tokens of prompt and output that the batch holds.
	KVTokens int
	// CacheBlocks bounds the prefix cache, in blocks of BlockTokens.
	CacheBlocks int
	// OutputTokens is the length of answers to requests that name none.
	OutputTokens int
	// LoadInterval is the time between load reports, LoadLag their age, and
	// LossShare the share of reports and cache events that are lost.
	LoadInterval time.Duration
	LoadLag      time.Duration
	LossShare    float64
	// ResumeWindow is how long a request outlives its connection.
	ResumeWindow time.Duration
	// HoldTime is how long a held request is kept, and HoldTokens bounds the
	// computed tokens of all that are held.
	HoldTime   time.Duration
	HoldTokens int
	// ChecksFencing makes the engine refuse orders with an old number.
	ChecksFencing bool
	// DownTime is how long a crashed engine refuses connections.
	DownTime time.Duration
	// Seed determines which reports are lost.
	Seed uint64
}

func (c Config) withDefaults() Config {
	setDefault(&c.PrefillTokensPerS, defaultPrefillTokensPerS)
	setDefault(&c.DecodeTokensPerS, defaultDecodeTokensPerS)
	setDefault(&c.MinStep, defaultMinStep)
	setDefault(&c.StepTokens, defaultStepTokens)
	setDefault(&c.KVTokens, defaultKVTokens)
	setDefault(&c.CacheBlocks, defaultCacheBlocks)
	setDefault(&c.OutputTokens, defaultOutputTokens)
	setDefault(&c.LoadInterval, defaultLoadInterval)
	setDefault(&c.ResumeWindow, defaultResumeWindow)
	setDefault(&c.HoldTime, defaultHoldTime)
	setDefault(&c.HoldTokens, defaultHoldTokens)
	setDefault(&c.DownTime, defaultDownTime)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Engine is a running stand-in. Its methods are safe for concurrent use.
type Engine struct {
	config  Config
	server  *standin.Server
	handler http.Handler
	done    chan struct{}
	closed  sync.Once

	mu         sync.Mutex
	batch      *batch
	requests   map[string]*sequence
	heldTokens int
	journal    journal
	reports    *reports
	events     *events
	// models holds the versions of the loaded models.
	models map[string]string
	// ordered says that the engine has carried out an order.
	ordered    bool
	fencing    int
	stallUntil time.Time
	slowdown   float64
	down       bool
	// announcesLeaving is set while all answers say that the engine is leaving.
	announcesLeaving atomic.Bool
	endless          endlessAnswers
}

// New returns an Engine that is not started.
func New(c Config) *Engine {
	c = c.withDefaults()
	e := &Engine{
		config:   c,
		done:     make(chan struct{}),
		requests: map[string]*sequence{},
		reports:  newReports(c),
		events:   newEvents(c),
		models:   map[string]string{},
		slowdown: 1,
	}
	e.batch = newBatch(c, e.events.add)
	for _, model := range c.Models {
		e.models[model] = c.Version
	}
	e.handler = e.withAnnouncement(e.routes())
	e.server = standin.NewServer(e.handler)
	return e
}

// Start serves on an address, or on a free loopback port if it is empty.
func (e *Engine) Start(address string) error {
	if err := e.server.Start(address); err != nil {
		return err
	}
	go e.run()
	return nil
}

// Address returns ip:port.
func (e *Engine) Address() string { return e.server.Address() }

// Settle waits until the engine has handled all that was sent to it, so that the
// journal holds it. All clients must have closed their connections.
func (e *Engine) Settle(ctx context.Context) error { return e.server.Settle(ctx) }

// Handler returns the engine's handler. Requests progress after Start only.
func (e *Engine) Handler() http.Handler { return e.handler }

// Close stops the engine. Running requests end in the journal as crashed.
func (e *Engine) Close() {
	e.closed.Do(func() { close(e.done) })
	e.server.Kill()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endAll(OutcomeCrashed)
}

// Stall stops all progress for a time; connections stay open.
func (e *Engine) Stall(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stallUntil = time.Now().Add(d)
}

// SetAnnouncesLeaving sets whether all answers say that the engine is leaving. It goes
// on serving.
func (e *Engine) SetAnnouncesLeaving(leaving bool) { e.announcesLeaving.Store(leaving) }

// withAnnouncement adds the announcement to the answers of a handler.
func (e *Engine) withAnnouncement(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.announcesLeaving.Load() {
			w.Header().Set("X-Server-Leaving", "1")
		}
		next.ServeHTTP(w, r)
	})
}

// SetSlowdown multiplies the time of each step from now on; 1 is normal.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// Crash drops every connection and request and refuses connections for a time.
func (e *Engine) Crash(down time.Duration) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	e.endAll(OutcomeCrashed)
	e.batch.cache.purge()
	clear(e.requests)
	e.mu.Unlock()
	e.server.Kill()
	go e.restart(down)
}

// restart listens again after a crash, unless the engine was closed.
func (e *Engine) restart(down time.Duration) {
	select {
	case <-e.done:
		return
	case <-time.After(down):
	}
	e.mu.Lock()
	e.down = false
	e.mu.Unlock()
	for range restartAttempts {
		if e.server.Start("") == nil {
			return
		}
		time.Sleep(restartDelay)
	}
}

// Attempts to listen again on the old port, and the delay between them.
const (
	restartAttempts = 50
	restartDelay    = 100 * time.Millisecond
)

package engine

import (
	"math/rand/v2"
	"time"
)

// maxEvents bounds the cache events that an engine keeps.
const maxEvents = 10000

// The kinds of cache events.
const (
	eventStored  = "stored"
	eventEvicted = "evicted"
)

// Load is one load report.
type Load struct {
	Running        int     `json:"running"`
	Waiting        int     `json:"waiting"`
	TokensInFlight int     `json:"tokens_in_flight"`
	CacheUsed      float64 `json:"cache_used"`
	AgeMs          int64   `json:"age_ms"`
	at             time.Time
}

// reports keeps the load reports of the recent past; some are lost.
type reports struct {
	interval time.Duration
	lag      time.Duration
	loss     float64
	random   *rand.Rand
	kept     []Load
	last     time.Time
}

func newReports(c Config) *reports {
	return &reports{
		interval: c.LoadInterval,
		lag:      c.LoadLag,
		loss:     c.LossShare,
		random:   rand.New(rand.NewPCG(c.Seed, 1)),
	}
}

// add keeps a report if one is due and it is not lost. The first is never lost.
func (r *reports) add(now time.Time, load Load) {
	if now.Sub(r.last) < r.interval {
		return
	}
	r.last = now
	if len(r.kept) > 0 && r.random.Float64() < r.loss {
		return
	}
	load.at = now
	r.kept = append(r.kept, load)
	for len(r.kept) > 1 && now.Sub(r.kept[1].at) >= r.lag {
		r.kept = r.kept[1:]
	}
}

// read returns the newest report that is at least as old as the lag.
func (r *reports) read(now time.Time) Load {
	var load Load
	for _, kept := range r.kept {
		if now.Sub(kept.at) < r.lag {
			break
		}
		load = kept
		load.AgeMs = now.Sub(kept.at).Milliseconds()
	}
	return load
}

// Event says that the prefix cache gained or lost a block.
type Event struct {
	Seq   int    `json:"seq"`
	Kind  string `json:"kind"`
	Block uint64 `json:"block"`
	at    time.Time
}

// events is the published log of cache events, late and with gaps.
type events struct {
	lag    time.Duration
	loss   float64
	random *rand.Rand
	next   int
	kept   []Event
}

func newEvents(c Config) *events {
	return &events{
		lag:    c.LoadLag,
		loss:   c.LossShare,
		random: rand.New(rand.NewPCG(c.Seed, 2)),
	}
}

func (e *events) add(kind string, block uint64) {
	e.next++
	if e.random.Float64() < e.loss {
		return
	}
	e.kept = append(e.kept, Event{Seq: e.next, Kind: kind, Block: block, at: time.Now()})
	if len(e.kept) > maxEvents {
		e.kept = e.kept[len(e.kept)-maxEvents:]
	}
}

// after returns the published events with a higher number.
func (e *events) after(now time.Time, seq int) []Event {
	published := []Event{}
	for _, event := range e.kept {
		if event.Seq > seq && now.Sub(event.at) >= e.lag {
			published = append(published, event)
		}
	}
	return published
}

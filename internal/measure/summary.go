package measure

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mimosafront/internal/load"
)

// Range and precision of latency histograms, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = int64(time.Hour / time.Microsecond)
	latencyDigits  = 3
)

// targetMs is the target for first tokens, in milliseconds.
const targetMs = float64(load.FirstTokenTarget / time.Millisecond)

// Group sums up a set of requests. Times are in milliseconds.
type Group struct {
	Offered  int
	Outcomes map[load.Outcome]int
	// OfferedWork and GoodWork are tokens of prompts and answers.
	OfferedWork float64
	GoodWork    float64
	// GoodTokens are tokens of good answers.
	GoodTokens int
	// Timely answers are good, and began within the target for first tokens.
	Timely   int
	LateGaps int
	Gaps     int
	// Tries counts the attempts.
	Tries int

	firstToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	returned   *hdrhistogram.Histogram
}

func newGroup() *Group {
	return &Group{
		Outcomes:   map[load.Outcome]int{},
		firstToken: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		total:      hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		returned:   hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
	}
}

func (g *Group) add(r load.Record) {
	g.Offered++
	g.Outcomes[r.Outcome]++
	work := float64(r.PromptTokens + r.OutputTokens)
	g.OfferedWork += work
	if r.FirstTokenMs > 0 {
		// A value out of range is counted at the bound.
		_ = g.firstToken.RecordValue(min(microseconds(r.FirstTokenMs), highestLatency))
	}
	g.Tries += r.Tries
	_ = g.returned.RecordValue(min(microseconds(r.ReturnedMs), highestLatency))
	g.LateGaps += r.LateGaps
	g.Gaps += max(0, r.Tokens-1)
	if r.Outcome != load.Good {
		return
	}
	g.GoodWork += work
	g.GoodTokens += r.OutputTokens
	if r.FirstTokenMs <= targetMs {
		g.Timely++
	}
	_ = g.total.RecordValue(min(microseconds(r.TotalMs), highestLatency))
}

func microseconds(ms float64) int64 { return int64(ms * 1000) }

// Good returns the number of good answers.
func (g *Group) Good() int { return g.Outcomes[load.Good] }

// GoodShare returns the part of the requests that were answered well.
func (g *Group) GoodShare() float64 { return ratio(float64(g.Good()), float64(g.Offered)) }

// TimelyShare returns the part of the requests that were answered well and began
// within the target for first tokens.
func (g *Group) TimelyShare() float64 { return ratio(float64(g.Timely), float64(g.Offered)) }

// FirstToken returns a percentile of the time to the first token.
func (g *Group) FirstToken(percent float64) float64 {
	return float64(g.firstToken.ValueAtQuantile(percent)) / 1000
}

// Total returns a percentile of the time of good answers.
func (g *Group) Total(percent float64) float64 {
	return float64(g.total.ValueAtQuantile(percent)) / 1000
}

// MeanTries returns the mean number of attempts of a request.
func (g *Group) MeanTries() float64 { return ratio(float64(g.Tries), float64(g.Offered)) }

// Returned returns a percentile of the time from the first try to the last.
func (g *Group) Returned(percent float64) float64 {
	return float64(g.returned.ValueAtQuantile(percent)) / 1000
}

// GapShare returns the part of the gaps between tokens within the target.
func (g *Group) GapShare() float64 {
	if g.Gaps == 0 {
		return 1
	}
	return 1 - float64(g.LateGaps)/float64(g.Gaps)
}

// ratio returns a/b, or 1 when both are 0.
func ratio(a, b float64) float64 {
	if a == 0 && b == 0 {
		return 1
	}
	return a / b
}

// Key selects one set of requests; empty fields join all.
type Key struct {
	Tier         string
	Organisation string
	Caller       string
}

// Summary holds the measured requests of a run by tier, organisation and
// caller.
type Summary struct {
	Result *load.Result
	groups map[Key]*Group
	// lateness is how late requests were sent, by the load tool's fault.
	lateness *hdrhistogram.Histogram
}

// Summarize sums up the measured requests whose group is not left out.
func Summarize(r *load.Result, skip ...string) *Summary {
	s := &Summary{
		Result:   r,
		groups:   map[Key]*Group{},
		lateness: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
	}
	for _, record := range r.Records {
		if !record.Measured || slices.Contains(skip, record.Group) {
			continue
		}
		_ = s.lateness.RecordValue(min(max(microseconds(record.SentMs), lowestLatency), highestLatency))
		for _, key := range keysOf(record) {
			s.group(key).add(record)
		}
	}
	return s
}

// keysOf returns the sets that a request belongs to. Calls of plain services
// count for their own tier only.
func keysOf(r load.Record) []Key {
	if r.Service {
		return []Key{{Tier: r.Tier}}
	}
	return []Key{
		{},
		{Tier: r.Tier},
		{Organisation: r.Organisation},
		{Tier: r.Tier, Organisation: r.Organisation},
		{Tier: r.Tier, Organisation: r.Organisation, Caller: r.Caller},
		{Organisation: r.Organisation, Caller: r.Caller},
	}
}

func (s *Summary) group(key Key) *Group {
	g := s.groups[key]
	if g == nil {
		g = newGroup()
		s.groups[key] = g
	}
	return g
}

// Group returns the requests of a key; it is empty if there are none.
func (s *Summary) Group(key Key) *Group {
	if g := s.groups[key]; g != nil {
		return g
	}
	return newGroup()
}

// Keys returns the keys that satisfy a condition, in order.
func (s *Summary) Keys(wanted func(Key) bool) []Key {
	var keys []Key
	for key := range s.groups {
		if wanted(key) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return slices.Compare([]string{a.Tier, a.Organisation, a.Caller}, []string{b.Tier, b.Organisation, b.Caller})
	})
	return keys
}

// Lateness returns a percentile of how late requests were sent, in
// milliseconds. It is the noise of the machine.
func (s *Summary) Lateness(percent float64) float64 {
	return float64(s.lateness.ValueAtQuantile(percent)) / 1000
}

// Goodput returns the tokens of good answers a second.
func (s *Summary) Goodput(key Key) float64 {
	return ratio(float64(s.Group(key).GoodTokens), s.Result.MeasuredSeconds())
}

// WastedPrefill returns the share of prefill that led to no whole answer.
func (s *Summary) WastedPrefill() float64 {
	j := s.Result.Journals
	if j.PrefillTokens == 0 {
		return 0
	}
	return float64(j.WastedTokens) / float64(j.PrefillTokens)
}

// Fairness compares the organisations of a tier with max-min fairness; an empty
// tier joins all.
func (s *Summary) Fairness(tier string) Fairness {
	var shares []Share
	for _, key := range s.Keys(func(k Key) bool { return k.Tier == tier && k.Organisation != "" && k.Caller == "" }) {
		g := s.groups[key]
		shares = append(shares, Share{Party: key.Organisation, Demand: g.OfferedWork, Got: g.GoodWork})
	}
	return CompareToMaxMin(shares)
}

package sched

import (
	"math"
	"time"
)

const (
	// speedWeight is the weight of a new sample in the moving averages (EWMA).
	speedWeight = 0.1
	// windowLength is the length of a measurement window, and windowWeight its weight
	// in the moving averages.
	windowLength = time.Second
	windowWeight = 0.2
	// minBusy is the minimum busy time, in seconds, of a window that updates the learned
	// speeds.
	minBusy = 0.5
	// seedPromptRatio is the assumed number of prompt tokens per output token.
	seedPromptRatio = 2.0
	// minSampleTokens is the minimum prefill, in tokens, of a sample of its speed.
	minSampleTokens = 64
	// maxSampleRatio limits a sample relative to the value expected of the hardware.
	maxSampleRatio = 50.0
	// seedBatch is the batch size, in requests, that the initial time between tokens
	// assumes.
	seedBatch = 8
	// The error margin is the mean error plus errorDeviations mean deviations, as a
	// factor between minErrorFactor and maxErrorFactor.
	errorDeviations = 1.5
	minErrorFactor  = 1.1
	maxErrorFactor  = 3.0
	// minOutputRatio is the minimum of the learned ratio of actual to expected output.
	minOutputRatio = 0.05
)

// speed holds the learned speeds of one server.
type speed struct {
	// The seeds are the initial values, expected of the hardware.
	prefillSeed float64
	decodeSeed  float64
	gapSeed     float64
	// prefill is in tokens per second and includes the wait in the server.
	prefill float64
	fit     firstTokenFit
	// gap is the time between tokens of one request, in seconds.
	gap float64
	// slowdown is the time that the server takes for its work, relative to the time
	// expected of its hardware.
	slowdown float64
	// throughput is the prompt and output tokens per second at full load.
	throughput float64
	// service is set for servers of a plain service, which have no tokens.
	service bool
	// total is the time of a whole call of a plain service, in seconds.
	total  float64
	window window
}

// window accumulates what a server did in one measurement window.
type window struct {
	begin time.Time
	// streaming is the time that streams took for tokens, in seconds.
	streaming float64
	tokens    int
	// prefilled is the number of prompt tokens computed.
	prefilled float64
	// busy is the time in which anything ran, in seconds.
	busy float64
	// used is the maximum of tokens in flight, and streams of concurrent requests.
	used, streams int
}

// newSpeed returns the speeds expected of a server's hardware.
func newSpeed(s Server, service bool) speed {
	gap := seedBatch / s.DecodeTokensPerS
	mixed := (seedPromptRatio + 1) / (seedPromptRatio/s.PrefillTokensPerS + 1/s.DecodeTokensPerS)
	return speed{
		fit:         newFirstTokenFit(s.PrefillTokensPerS),
		prefillSeed: s.PrefillTokensPerS, prefill: s.PrefillTokensPerS, decodeSeed: s.DecodeTokensPerS,
		gapSeed: gap, gap: gap, slowdown: 1, throughput: mixed, service: service,
	}
}

// average moves an EWMA towards a sample.
func average(old, sample, weight float64) float64 { return old + weight*(sample-old) }

// clampSample limits a sample to maxSampleRatio times above or below the seed.
func clampSample(sample, seed float64) float64 {
	return min(max(sample, seed/maxSampleRatio), seed*maxSampleRatio)
}

// observePrefill learns from a first token that followed a number of prefill tokens.
func (s *speed) observePrefill(tokens int, firstToken time.Duration) {
	if firstToken <= 0 || tokens < minSampleTokens {
		return
	}
	s.fit.observe(tokens, firstToken, s.prefillSeed)
	sample := clampSample(float64(tokens)/firstToken.Seconds(), s.prefillSeed)
	s.prefill = average(s.prefill, sample, speedWeight)
}

// observeTokens adds the time that a stream took for some tokens to the window.
func (s *speed) observeTokens(tokens int, took time.Duration) {
	if tokens > 0 && took > 0 {
		s.window.tokens += tokens
		s.window.streaming += took.Seconds()
	}
}

// closeWindow learns from a completed window and starts the next one. It reports whether
// the window held enough work to learn from.
func (s *speed) closeWindow(now time.Time) bool {
	w := s.window
	s.window = window{begin: now}
	if w.busy < minBusy {
		return false
	}
	ideal := float64(w.tokens)/s.decodeSeed + w.prefilled/s.prefillSeed
	s.slowdown = average(s.slowdown, clampSample(w.busy/max(ideal, w.busy/maxSampleRatio), 1), windowWeight)
	if w.tokens > 0 {
		s.gap = average(s.gap, clampSample(w.streaming/float64(w.tokens), s.gapSeed), windowWeight)
	}
	rate := (float64(w.tokens) + w.prefilled) / w.busy
	s.throughput = average(s.throughput, max(rate, s.throughput/2), windowWeight)
	return true
}

// observeTotal learns from a whole call of a plain service.
func (s *speed) observeTotal(total time.Duration) {
	if total <= 0 {
		return
	}
	if s.total == 0 {
		s.total = total.Seconds()
	}
	s.total = average(s.total, total.Seconds(), speedWeight)
}

// slowness is the slowdown, or the time of a call of a plain service in seconds; 0 is
// unknown.
func (s *speed) slowness() float64 {
	if s.service {
		return s.total
	}
	return s.slowdown
}

func (s *speed) firstTokenTime(prefill int) time.Duration {
	return s.fit.time(prefill)
}

func (s *speed) outputTime(tokens float64) time.Duration { return seconds(tokens * s.gap) }

// seconds converts seconds to a Duration and caps the result, so that it can be added to
// times.
func seconds(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), math.MaxInt64/4))
}

// estimator holds the estimates for the whole pool.
type estimator struct {
	// prefill and gap are the best values among the servers that take work.
	prefill, gap float64
	// idlePrefill and idleGap are the best values that the hardware could reach for a
	// single request. They decide which requests can never finish in time.
	idlePrefill, idleGap float64
	// fit is the fit of the server that takes work and is fastest for a prompt of
	// fitPromptTokens.
	fit firstTokenFit
	// outputRatio is the ratio of produced to expected output, by tier.
	outputRatio [MaxTiers]float64
	// total is the time of a whole call of a plain service, in seconds.
	total float64
	// errors are the errors of the expected times, by tier.
	errors [MaxTiers]timeError
}

// timeError is the mean ratio of actual to expected times, and the mean deviation from
// it.
type timeError struct{ mean, deviation float64 }

// observeTime learns the error of an expected time.
func (e *estimator) observeTime(tier int, actual, expected time.Duration) {
	if actual <= 0 || expected <= 0 {
		return
	}
	t := &e.errors[tierIndex(tier)]
	if t.mean == 0 {
		t.mean = 1
	}
	ratio := clampSample(actual.Seconds()/expected.Seconds(), 1)
	t.deviation = average(t.deviation, math.Abs(ratio-t.mean), speedWeight)
	t.mean = average(t.mean, ratio, speedWeight)
}

// errorMargin returns the time by which an expected time is seldom exceeded.
func (e *estimator) errorMargin(tier int, expected time.Duration) time.Duration {
	t := &e.errors[tierIndex(tier)]
	factor := min(max(t.mean+errorDeviations*t.deviation, minErrorFactor), maxErrorFactor)
	return time.Duration((factor - 1) * float64(expected))
}

// refresh recomputes the best values after servers or speeds changed.
func (e *estimator) refresh(servers []*server) {
	e.prefill, e.gap = 0, 0
	e.idlePrefill, e.idleGap = 0, 0
	e.total = 0
	e.fit = firstTokenFit{}
	for _, s := range servers {
		if s.speed.service {
			e.total = max(e.total, s.speed.total)
			continue
		}
		e.idlePrefill = max(e.idlePrefill, s.PrefillTokensPerS, s.speed.prefill)
		if idle := 1 / s.DecodeTokensPerS; e.idleGap == 0 || idle < e.idleGap {
			e.idleGap = idle
		}
		if !s.health.takesWork() || s.closed() {
			continue
		}
		e.prefill = max(e.prefill, s.speed.prefill)
		if e.fit.n == 0 || s.speed.fit.time(fitPromptTokens) < e.fit.time(fitPromptTokens) {
			e.fit = s.speed.fit
		}
		if e.gap == 0 || s.speed.gap < e.gap {
			e.gap = s.speed.gap
		}
	}
	if e.prefill == 0 {
		e.prefill, e.gap = e.idlePrefill, e.idleGap
	}
}

// outputTokens returns the expected output of a request, corrected by the learned ratio.
func (e *estimator) outputTokens(r *Request) float64 {
	ratio := e.outputRatio[tierIndex(r.Tier)]
	if ratio == 0 {
		ratio = 1
	}
	return ratio * float64(r.OutputTokens)
}

// observeOutput learns which share of the expected output is produced.
func (e *estimator) observeOutput(r *Request, produced int) {
	if r.OutputTokens <= 0 {
		return
	}
	ratio := &e.outputRatio[tierIndex(r.Tier)]
	if *ratio == 0 {
		*ratio = 1
	}
	sample := min(float64(produced)/float64(r.OutputTokens), 1)
	*ratio = max(average(*ratio, sample, speedWeight), minOutputRatio)
}

// expectedTime returns the time that a request takes on the best server now.
func (e *estimator) expectedTime(r *Request) time.Duration {
	if e.prefill == 0 {
		return seconds(e.total)
	}
	return seconds(float64(r.PromptTokens)/e.prefill + e.outputTokens(r)*e.gap)
}

// firstToken returns the time to the first token on the best server if it has no other
// prefill to do.
func (e *estimator) firstToken(r *Request) time.Duration { return e.fit.time(r.PromptTokens) }

// minTime returns the minimum time of a request, on the fastest server when it is idle.
func (e *estimator) minTime(r *Request) time.Duration {
	if e.idlePrefill == 0 {
		return 0
	}
	return seconds(float64(r.PromptTokens)/e.idlePrefill + e.outputTokens(r)*e.idleGap)
}

// tierIndex clamps a rank received over the network.
func tierIndex(rank int) int { return min(max(rank, 0), MaxTiers-1) }

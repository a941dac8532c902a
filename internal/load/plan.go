// Package load sends requests to running entry hosts at planned times, whatever
// the answers do, and records what callers see.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosafront/internal/scenario"
	"mimosafront/internal/standin/engine"
	"mimosafront/internal/tokens"
)

// lengthRange bounds lengths by their median, down and up.
const lengthRange = 10

// Request is one planned request.
type Request struct {
	// At is the intended time, from the start of the run.
	At           time.Duration
	Stream       string
	Group        string
	Organisation string
	Caller       string
	Tier         string
	Target       string
	// PromptTokens is the whole length, of which PrefixTokens are shared.
	PromptTokens int
	PrefixTokens int
	OutputTokens int
	// Deadline is the time for the whole answer; 0 is the tier's.
	Deadline time.Duration
	Poison   bool
	// Method and Path belong to calls of a plain service.
	Service bool
	Method  string
	Path    string
	number  int
}

// Plan draws the requests of a run, ordered by their times. Each stream has its
// own random numbers: leaving a group out doesn't change the others.
func Plan(s *scenario.Scenario, seed uint64, skip []string) ([]Request, error) {
	var plan []Request
	for _, stream := range s.Streams {
		if slices.Contains(skip, stream.Group) {
			continue
		}
		random := rand.New(rand.NewPCG(seed, xxhash.Sum64String(stream.Name)))
		plan = append(plan, planStream(s, stream, random)...)
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].At < plan[j].At })
	if len(plan) > s.Scenario.MaxRequests {
		return nil, fmt.Errorf("scenario %s plans %d requests, at most %d are allowed", s.Name, len(plan), s.Scenario.MaxRequests)
	}
	return plan, nil
}

func planStream(s *scenario.Scenario, stream scenario.Stream, random *rand.Rand) []Request {
	end := stream.EndS
	if end == 0 || end > s.Scenario.DurationS {
		end = s.Scenario.DurationS
	}
	callers := s.Callers(stream)
	target := s.Target(stream)
	var requests []Request
	at := stream.StartS
	for {
		at += random.ExpFloat64() * float64(stream.Burst) / stream.Rate
		if at >= end {
			return requests
		}
		for range stream.Burst {
			number := len(requests)
			requests = append(requests, Request{
				At:           scenario.Seconds(at),
				Stream:       stream.Name,
				Group:        stream.Group,
				Organisation: stream.Organisation,
				Caller:       callers[number%len(callers)],
				Tier:         stream.Tier,
				Target:       target,
				PromptTokens: stream.PrefixTokens + length(random, stream.PromptTokens, stream.Spread),
				PrefixTokens: stream.PrefixTokens,
				OutputTokens: length(random, stream.OutputTokens, stream.Spread),
				Deadline:     time.Duration(stream.DeadlineMs) * time.Millisecond,
				Poison:       stream.Poison,
				Service:      s.Policy.IsService(target),
				Method:       string(stream.Method),
				Path:         stream.Path,
				number:       promptNumber(stream, number),
			})
		}
	}
}

func promptNumber(stream scenario.Stream, number int) int {
	if stream.Poison {
		return 0
	}
	return number
}

// length draws from a log-normal distribution within a tenth and ten times the
// median, a range of 100 to 1.
func length(random *rand.Rand, median int, spread float64) int {
	drawn := float64(median) * math.Exp(spread*random.NormFloat64())
	return max(1, int(min(max(drawn, float64(median)/lengthRange), float64(median)*lengthRange)))
}

// prompt returns the text of a request. It names the length of the answer for
// the stand-in engine; entry hosts don't know it.
func (r *Request) prompt() string {
	var text strings.Builder
	fill(&text, "Rules of "+r.Stream+". ", r.PrefixTokens*tokens.BytesPerToken)
	fmt.Fprintf(&text, "Request %d of %s. #output=%d ", r.number, r.Stream, r.OutputTokens)
	if r.Poison {
		text.WriteString(engine.PoisonMarker + " ")
	}
	fill(&text, fmt.Sprintf("Item %d of %s. ", r.number, r.Stream), r.PromptTokens*tokens.BytesPerToken)
	return text.String()
}

// fill repeats a phrase until the text has so many bytes.
func fill(text *strings.Builder, phrase string, bytes int) {
	for text.Len() < bytes {
		text.WriteString(phrase[:min(len(phrase), bytes-text.Len())])
	}
}

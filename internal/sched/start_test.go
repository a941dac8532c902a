package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against hosts that start together, each coordinating the pool until it knows the
// others, and all send their first requests to the same few of equal servers.
func TestHostsThatStartTogetherSpreadTheirRequests(t *testing.T) {
	const (
		hosts           = 60
		requestsPerHost = 8
		servers         = 64
		// Choices that are independent and even stay below this multiple of the mean.
		maxOverMean = 3
	)
	list := make([]Server, servers)
	for i := range list {
		list[i] = Server{
			Name: fmt.Sprintf("s%02d", i), Hardware: "g", PrefillTokensPerS: 60_000, DecodeTokensPerS: 1000, TokensInFlight: 500_000, MaxRequests: 4,
		}
	}
	random := rand.New(rand.NewPCG(1, 2))
	got := map[string]int{}
	for host := range hosts {
		pool := NewPool(Config{MaxWaiting: 100, MaxWaitingTokens: 1_000_000, FirstTokenTarget: time.Second, GapTarget: 75 * time.Millisecond, Seed: random.Uint64()})
		pool.SetServers(start, list)
		for i := range requestsPerHost {
			pool.Add(start, Request{
				ID: fmt.Sprint("r", host, "-", i), Organisation: "o", PromptTokens: 4000, OutputTokens: 120, Deadline: start.Add(8 * time.Second),
			})
		}
		for _, a := range pool.TakeActions() {
			if a.Kind == ActionGrant {
				got[a.Server]++
			}
		}
	}
	granted, most := 0, 0
	for _, count := range got {
		granted, most = granted+count, max(most, count)
	}
	if granted != hosts*requestsPerHost {
		t.Fatalf("%d requests were granted, want %d", granted, hosts*requestsPerHost)
	}
	if limit := maxOverMean * granted / servers; most > limit {
		t.Errorf("one server of %d got %d of %d requests, want at most %d", servers, most, granted, limit)
	}
}

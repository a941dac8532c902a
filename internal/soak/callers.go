package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"mimosafront/internal/apierror"
	"mimosafront/internal/client"
	"mimosafront/internal/sleep"
	"mimosafront/internal/standin/engine"
	"mimosafront/internal/verdict"
)

const (
	// callersPerTier is the number of closed-loop callers of each tier.
	callersPerTier = 4
	// floodCallers is the number of callers that a flood adds.
	floodCallers = 120
	// callerPause is the pause between the requests of a caller; poisonPause is the
	// pause of the caller that sends poison requests.
	callerPause = 30 * time.Millisecond
	poisonPause = 5 * time.Second
	// requestTimeout is the client-side timeout of a request.
	requestTimeout = 30 * time.Second
	// answerTokens is the number of tokens of an answer. On average one answer
	// in longAnswerEvery has longAnswerTokens.
	answerTokens     = 20
	longAnswerTokens = 400
	longAnswerEvery  = 5
)

// requestRecord is the outcome of one request. PromptHash identifies the request: no
// two requests share a prompt, except that each poison prompt is sent twice.
type requestRecord struct {
	PromptHash  uint64
	Prompt      string
	Host        string
	Tier        int
	Poison      bool
	Sent, Ended time.Time
	// Complete reports that the answer was received to its end, Matches that its text
	// is the expected one.
	Complete, Matches bool
	Code              apierror.Code
	Verdict           verdict.Verdict
	// Disconnected reports that the connection broke after the request was sent and
	// before the host returned the whole answer or an error. AnswerStarted reports
	// that part of the answer was received before the failure.
	Disconnected, AnswerStarted bool
}

// callers generates the request load and records the outcomes.
type callers struct {
	fleet  *fleet
	http   *http.Client
	limit  int64
	seed   uint64
	number atomic.Int64

	// floods waits for the callers added by floods.
	floods conc.WaitGroup

	mu      sync.Mutex
	records []requestRecord
	// unanswered holds the send times of the requests in progress by prompt hash.
	unanswered map[uint64]time.Time
}

func newCallers(f *fleet, c Config) *callers {
	return &callers{
		fleet: f, limit: int64(c.MaxRequests), seed: c.Seed, unanswered: map[uint64]time.Time{},
		http: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// run sends the mixed load until ctx ends.
func (c *callers) run(ctx context.Context) {
	var group conc.WaitGroup
	for tier := range tiers {
		for i := range callersPerTier {
			group.Go(func() { c.sendLoop(ctx, tier, uint64(tier*callersPerTier+i)) })
		}
	}
	group.Wait()
}

// flood adds callers of a tier until the returned function is called. Their last
// requests may end after that.
func (c *callers) flood(ctx context.Context, tier string) func() {
	rank := 0
	for i, name := range tiers {
		if name == tier {
			rank = i
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	for range floodCallers {
		stream := uint64(c.number.Add(1)) << 8
		c.floods.Go(func() { c.sendLoop(ctx, rank, stream) })
	}
	return cancel
}

func (c *callers) sendLoop(ctx context.Context, tier int, stream uint64) {
	random := rand.New(rand.NewPCG(c.seed, stream))
	for ctx.Err() == nil {
		n := c.number.Add(1)
		if n > c.limit {
			return
		}
		tokens := answerTokens
		if random.IntN(longAnswerEvery) == 0 {
			tokens = longAnswerTokens
		}
		prompt := fmt.Sprintf("request %d: describe coin %d of %s", n, random.IntN(1000), tiers[tier])
		c.send(random, tier, prompt, tokens)
		sleep.For(ctx, callerPause)
	}
}

// runPoison sends poison requests, which crash the engines that run them, each twice,
// until ctx ends.
func (c *callers) runPoison(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.seed, 1<<32))
	for sleep.For(ctx, poisonPause) {
		prompt := fmt.Sprintf("%s %d", engine.PoisonMarker, c.number.Add(1))
		for range 2 {
			c.send(random, random.IntN(len(tiers)), prompt, answerTokens)
		}
	}
}

// send sends one request to a random host, if that host is running, and records the
// outcome. The request is not cancelled when the phase of the run ends.
func (c *callers) send(random *rand.Rand, tier int, prompt string, tokens int) {
	h := c.fleet.hosts[pickRandom(random, hostNames)]
	if !h.running() {
		return
	}
	caller := client.New(client.Config{
		Addresses: []string{"http://" + h.front}, Key: keyPrefix + pickRandom(random, organisations),
		Tier: tiers[tier], Deadline: deadline, HTTP: c.http,
	})
	r := c.newRecord(h.name, tier, prompt)
	c.recordSent(r)
	if c.fleet.store != nil {
		c.sendRouted(&r, keyPrefix+pickRandom(random, organisations), tokens)
		c.recordAnswer(r)
		return
	}
	var text strings.Builder
	err := caller.Chat(context.Background(), client.Chat{Model: model, Prompt: prompt, MaxTokens: tokens}, &text)
	r.Ended = time.Now()
	if err == nil {
		r.Complete, r.Verdict = true, verdict.Ran
		r.Matches = text.String() == engine.Answer(r.PromptHash, tokens)
	} else {
		r.Code, r.Verdict = err.Code, err.Verdict
		r.AnswerStarted = text.Len() > 0
		r.Disconnected = err.Code == "" && err.Status == 0 && err.Verdict != verdict.NotRun
	}
	c.recordAnswer(r)
}

func (c *callers) newRecord(host string, tier int, prompt string) requestRecord {
	return requestRecord{
		PromptHash: xxhash.Sum64String(prompt), Prompt: prompt, Host: host, Tier: tier,
		Poison: strings.Contains(prompt, engine.PoisonMarker), Sent: time.Now(),
	}
}

func (c *callers) recordSent(r requestRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered[r.PromptHash] = r.Sent
}

func (c *callers) recordAnswer(r requestRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unanswered, r.PromptHash)
	c.records = append(c.records, r)
}

// awaitAnswers waits until all requests sent before a time are answered.
func (c *callers) awaitAnswers(ctx context.Context, sentBefore time.Time) {
	for !c.answered(sentBefore) && sleep.For(ctx, pollInterval) {
	}
}

func (c *callers) answered(sentBefore time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, sent := range c.unanswered {
		if sent.Before(sentBefore) {
			return false
		}
	}
	return true
}

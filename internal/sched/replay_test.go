package sched

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/settings"
)

// Time step of the simulated engines, and the intervals of ticks and progress reports.
const (
	replayStep     = 10 * time.Millisecond
	replayTick     = 50 * time.Millisecond
	replayProgress = 500 * time.Millisecond
)

// replayStream sends requests of one organisation as a Poisson process.
type replayStream struct {
	organisation      string
	tier              int
	requestsPerSecond float64
	from, to          time.Duration
	prompt, output    int
	deadline          time.Duration
}

// attempt is one attempt of a request.
type attempt struct {
	request Request
	stream  *replayStream
	number  int
	at      time.Time
	// onTime is set for a retry after the advised delay.
	onTime bool
}

// run is a granted attempt on a simulated engine.
type run struct {
	*attempt
	grant      string
	server     string
	grantedAt  time.Time
	prefill    float64
	produced   float64
	firstToken time.Duration
}

// tally counts the outcomes of attempts of one kind.
type tally struct {
	offered, good, refused, late int
	// wait is the time to each refusal as a fraction of the deadline.
	wait []float64
}

// replay simulates a pool with batching engines and callers that retry after the advised
// delay, up to maxAttempts times. All random values are drawn from one seed.
type replay struct {
	pool        *Pool
	random      *rand.Rand
	now         time.Time
	arrivals    []*attempt
	running     map[string]*run
	byID        map[string]*attempt
	maxAttempts int
	next        int
	servers     []Server
	// firstAttempts and onTimeRetries count first attempts and retries after the advised
	// delay, and requests counts requests over all their attempts, by organisation.
	firstAttempts, onTimeRetries, requests map[string]*tally
	// retriedTokens sums the tokens of retries, by quarters of a second.
	retriedTokens map[int64]int
	// computed are the prefixes that each engine has computed, and prefilled is the number
	// of prompt tokens that all engines were given to compute.
	computed  map[string]map[uint64]bool
	prefilled int
}

// replayDecode is the decode speed of one simulated engine, in tokens per second.
const replayDecode = 600

func newReplay(seed uint64, servers, maxAttempts int, streams ...replayStream) *replay {
	return newReplayOf(settings.SchedulerAlgorithmFair, seed, servers, maxAttempts, streams...)
}

func newReplayOf(algorithm settings.SchedulerAlgorithm, seed uint64, servers, maxAttempts int, streams ...replayStream) *replay {
	pool := NewPool(Config{
		Algorithm: algorithm, MaxWaiting: 1000, MaxWaitingTokens: 10_000_000,
		FirstTokenTarget: 1600 * time.Millisecond, GapTarget: 33 * time.Millisecond, GrantPrefix: "g",
	})
	r := &replay{
		pool: pool, random: rand.New(rand.NewPCG(seed, 1)), now: start, maxAttempts: maxAttempts,
		running: map[string]*run{}, byID: map[string]*attempt{}, retriedTokens: map[int64]int{},
		firstAttempts: map[string]*tally{}, onTimeRetries: map[string]*tally{}, requests: map[string]*tally{},
	}
	for i := range servers {
		r.servers = append(r.servers, Server{
			Name: fmt.Sprint("s", i), Hardware: "g", PrefillTokensPerS: 8000, DecodeTokensPerS: replayDecode,
			TokensInFlight: 8000, MaxRequests: 64,
		})
	}
	r.pool.SetServers(r.now, r.servers)
	for i := range streams {
		s := &streams[i]
		for at := s.from; ; {
			at += time.Duration(r.random.ExpFloat64() / s.requestsPerSecond * float64(time.Second))
			if at >= s.to {
				break
			}
			r.plan(s, start.Add(at), uint64(len(r.arrivals)+1))
		}
	}
	return r
}

// plan schedules the first attempt of a request.
func (r *replay) plan(s *replayStream, at time.Time, fingerprint uint64) {
	r.schedule(&attempt{stream: s, at: at, number: 1, request: Request{
		Organisation: s.organisation, Caller: "crew", Tier: s.tier, Fingerprint: fingerprint,
		PromptTokens: s.prompt, OutputTokens: s.output,
	}})
}

// schedule inserts an attempt in order of time.
func (r *replay) schedule(t *attempt) {
	i, _ := slices.BinarySearchFunc(r.arrivals, t, func(a, b *attempt) int {
		if a.at.After(b.at) {
			return 1
		}
		return -1
	})
	r.arrivals = slices.Insert(r.arrivals, i, t)
}

// tallyOf returns the tally of an organisation and creates it if missing.
func tallyOf(m map[string]*tally, organisation string) *tally {
	if m[organisation] == nil {
		m[organisation] = &tally{}
	}
	return m[organisation]
}

// play runs until all requests have ended.
func (r *replay) play(each func()) {
	for step := 0; len(r.arrivals)+len(r.running)+r.pool.queue.waiting > 0; step++ {
		r.arrive()
		r.decode()
		if step%int(replayTick/replayStep) == 0 {
			r.pool.Tick(r.now)
			r.collect()
		}
		if step%int(replayProgress/replayStep) == 0 {
			r.report()
		}
		each()
		r.now = r.now.Add(replayStep)
	}
}

// arrive sends the attempts that are due.
func (r *replay) arrive() {
	for len(r.arrivals) > 0 && !r.arrivals[0].at.After(r.now) {
		t := r.arrivals[0]
		r.arrivals = r.arrivals[1:]
		r.next++
		q := t.request
		q.ID, q.Arrived, q.Deadline = fmt.Sprint("r", r.next), r.now, r.now.Add(t.stream.deadline)
		t.request = q
		r.byID[q.ID] = t
		r.attemptTally(t).offered++
		if t.number == 1 {
			tallyOf(r.requests, q.Organisation).offered++
		} else {
			r.retriedTokens[r.now.UnixNano()/int64(250*time.Millisecond)] += q.PromptTokens + q.OutputTokens
		}
		if !r.pool.config.PrefixWeighing {
			q.Prefixes, q.PrefixTokens = nil, nil
		}
		r.pool.Add(r.now, q)
		r.collect()
	}
}

// attemptTally returns the tally that an attempt is counted in.
func (r *replay) attemptTally(t *attempt) *tally {
	if t.onTime {
		return tallyOf(r.onTimeRetries, t.request.Organisation)
	}
	return tallyOf(r.firstAttempts, t.request.Organisation)
}

// collect applies the pool's decisions.
func (r *replay) collect() {
	for _, a := range r.pool.TakeActions() {
		switch a.Kind {
		case ActionGrant:
			t := r.byID[a.Request.ID]
			r.running[a.Grant] = &run{attempt: t, grant: a.Grant, server: a.Server, grantedAt: r.now, prefill: r.toCompute(a.Server, &t.request)}
		case ActionRefuse:
			r.refuse(r.byID[a.Request.ID], a.RetryAfter)
		case ActionRevoke:
			r.end(r.running[a.Grant], message.ReleaseOutcomeRevoked)
		}
	}
}

// refuse counts a refusal and schedules a retry, up to 200 ms later than advised.
func (r *replay) refuse(t *attempt, after time.Duration) {
	k := r.attemptTally(t)
	k.refused++
	k.wait = append(k.wait, float64(r.now.Sub(t.at))/float64(t.stream.deadline))
	if t.number == r.maxAttempts || after == 0 {
		return
	}
	again := *t
	again.number, again.onTime = t.number+1, true
	again.at = r.now.Add(after + time.Duration(r.random.Int64N(int64(200*time.Millisecond))))
	r.schedule(&again)
}

// decode advances each engine by one step: prompts in the order of grants, then a token of
// each stream in the time that the batch takes.
func (r *replay) decode() {
	byServer := map[string][]*run{}
	for _, g := range r.running {
		byServer[g.server] = append(byServer[g.server], g)
	}
	for _, s := range r.servers {
		runs := byServer[s.Name]
		slices.SortFunc(runs, func(a, b *run) int {
			return cmp.Or(a.grantedAt.Compare(b.grantedAt), cmp.Compare(a.grant, b.grant))
		})
		left := replayStep.Seconds()
		for _, g := range runs {
			spent := min(g.prefill/s.PrefillTokensPerS, left/2)
			g.prefill -= spent * s.PrefillTokensPerS
			left -= spent
		}
		for _, g := range runs {
			if g.prefill > 0.5 {
				continue
			}
			g.produced += left * replayDecode / float64(len(runs))
			if g.firstToken == 0 && g.produced >= 1 {
				g.firstToken = r.now.Sub(g.grantedAt)
				r.keepPrefixes(g)
			}
			if g.produced >= float64(g.request.OutputTokens) {
				r.end(g, message.ReleaseOutcomeFinished)
			}
		}
	}
}

// end releases a grant and counts the outcome of its attempt.
func (r *replay) end(g *run, outcome message.ReleaseOutcome) {
	delete(r.running, g.grant)
	if outcome == message.ReleaseOutcomeFinished {
		k, all := r.attemptTally(g.attempt), tallyOf(r.requests, g.request.Organisation)
		if r.now.After(g.request.Deadline) {
			k.late++
			all.late++
		} else {
			k.good++
			all.good++
		}
	}
	r.pool.Release(r.now, g.grant, Result{
		Outcome: outcome, PromptTokens: g.request.PromptTokens, OutputTokens: int(g.produced),
		FirstToken: g.firstToken, Total: r.now.Sub(g.grantedAt),
	})
	r.collect()
}

// report sends progress reports of all running grants.
func (r *replay) report() {
	grants := make([]string, 0, len(r.running))
	for id := range r.running {
		grants = append(grants, id)
	}
	slices.Sort(grants)
	r.pool.HostSeen(r.now, "")
	for _, id := range grants {
		g := r.running[id]
		gap := time.Duration(0)
		if g.produced >= 2 {
			gap = (r.now.Sub(g.grantedAt) - g.firstToken) / time.Duration(g.produced)
		}
		r.pool.Progress(r.now, id, Progress{OutputTokens: int(g.produced), FirstToken: g.firstToken, Gap: gap})
	}
	r.collect()
}

// earlyShare returns the share of refusals within a tenth of the deadline.
func (t *tally) earlyShare() float64 {
	n := 0
	for _, wait := range t.wait {
		if wait <= 0.1 {
			n++
		}
	}
	return float64(n) / float64(max(1, len(t.wait)))
}

// goodShare returns the share of attempts that were answered by their deadline.
func (t *tally) goodShare() float64 { return float64(t.good) / float64(max(1, t.offered)) }

// sustainedFlood is a large organisation that sends four times the capacity of four
// engines for 20 s, beside a small organisation.
func sustainedFlood() []replayStream {
	return []replayStream{
		{organisation: "large", tier: 1, requestsPerSecond: 180, to: 20 * time.Second, prompt: 100, output: 50, deadline: 6 * time.Second},
		{organisation: "small", tier: 1, requestsPerSecond: 8, to: 30 * time.Second, prompt: 100, output: 50, deadline: 6 * time.Second},
	}
}

// capacity is the throughput of the simulated engines for a stream's requests, in tokens
// per second.
func (r *replay) capacity(s replayStream) float64 {
	each := float64(s.prompt)/8000 + float64(s.output)/replayDecode
	return float64(len(r.servers)) * float64(s.prompt+s.output) / each
}

// TestFloodIsRefusedEarlyAndServedOnReturn replays a flood whose callers retry after the
// advised delay. With one delay for all, only 0.60 to 0.63 of the large organisation's
// requests were answered, none was refused early, and 22,350 to 30,600 tokens were retried
// within a quarter of a second.
func TestFloodIsRefusedEarlyAndServedOnReturn(t *testing.T) {
	for seed := range uint64(3) {
		r := newReplay(seed+1, 4, 3, sustainedFlood()...)
		r.play(func() {})
		first, again, all := tallyOf(r.firstAttempts, "large"), tallyOf(r.onTimeRetries, "large"), tallyOf(r.requests, "large")
		if share := first.earlyShare(); share < 0.9 {
			t.Errorf("seed %d: %.3f of the refusals came within a tenth of the deadline", seed+1, share)
		}
		if share := again.goodShare(); share < 0.95 {
			t.Errorf("seed %d: %.3f of the on-time retries were served", seed+1, share)
		}
		if share := all.goodShare(); share < 0.95 {
			t.Errorf("seed %d: %.3f of all requests were served in three attempts", seed+1, share)
		}
		if share := tallyOf(r.requests, "small").goodShare(); share < 0.99 {
			t.Errorf("seed %d: %.3f of the small organisation's requests were served", seed+1, share)
		}
		// Retries come up to 200 ms late, so those of two slots may coincide.
		most := 2 * r.capacity(sustainedFlood()[0]) * 0.25
		for _, tokens := range r.retriedTokens {
			if float64(tokens) > most {
				t.Errorf("seed %d: %d tokens are retried within 250 ms, the capacity is %.0f", seed+1, tokens, most/2)
			}
		}
	}
}

// TestFloodWithoutRetriesKeepsGoodput replays a flood whose callers never retry. Early
// refusals and reserved retry times must not reduce goodput: it is compared with both
// baselines on the same arrivals.
func TestFloodWithoutRetriesKeepsGoodput(t *testing.T) {
	for seed := range uint64(3) {
		good := map[settings.SchedulerAlgorithm]int{}
		for _, algorithm := range []settings.SchedulerAlgorithm{
			settings.SchedulerAlgorithmFair, settings.SchedulerAlgorithmFifo, settings.SchedulerAlgorithmLeastOutstanding,
		} {
			r := newReplayOf(algorithm, seed+1, 4, 1, sustainedFlood()...)
			r.play(func() {})
			for _, all := range r.requests {
				good[algorithm] += all.good
			}
		}
		fair := good[settings.SchedulerAlgorithmFair]
		for algorithm, n := range good {
			if float64(fair) < 0.97*float64(n) {
				t.Errorf("seed %d: %d good answers, %s has %d", seed+1, fair, algorithm, n)
			}
		}
		t.Logf("seed %d: good answers %v", seed+1, good)
	}
}

// TestQueueIsUsedWhenCallersNeverRetry replays twice the capacity of the engines for 20 s,
// with deadlines of 20 s and callers that never retry. Two other zones have the same
// capacity. The engines are busy for the 20 s of arrivals and most of one more deadline, so
// they can serve nine tenths of the load, less a tenth for the slack. A third of the load
// was refused when the feasibility check expected outstanding retries to be served first.
func TestQueueIsUsedWhenCallersNeverRetry(t *testing.T) {
	for seed := range uint64(3) {
		load := replayStream{organisation: "large", to: 20 * time.Second, prompt: 200, output: 60, deadline: 20 * time.Second}
		r := newReplay(seed+1, 4, 1)
		load.requestsPerSecond = 2 * r.capacity(load) / float64(load.prompt+load.output)
		r = newReplay(seed+1, 4, 1, load)
		r.pool.SetRemoteRate(2 * r.pool.tokensPerSecond())
		r.play(func() {})
		if share := tallyOf(r.requests, "large").goodShare(); share < 0.8 {
			t.Errorf("seed %d: %.3f of the requests were served", seed+1, share)
		}
	}
}

// TestLowestTierFloodDoesNotAffectHigherTiers replays captions at ten times their rate,
// with callers that retry, beside briefs and cataloguing.
func TestLowestTierFloodDoesNotAffectHigherTiers(t *testing.T) {
	for seed := range uint64(3) {
		r := newReplay(seed+1, 4, 5,
			replayStream{organisation: "briefs", tier: 0, requestsPerSecond: 6, to: 30 * time.Second, prompt: 400, output: 100, deadline: 12 * time.Second},
			replayStream{organisation: "catalogue", tier: 1, requestsPerSecond: 8, to: 30 * time.Second, prompt: 120, output: 30, deadline: 12 * time.Second},
			replayStream{organisation: "captions", tier: 2, requestsPerSecond: 40, to: 30 * time.Second, prompt: 60, output: 20, deadline: 6 * time.Second},
			replayStream{organisation: "flood", tier: 2, requestsPerSecond: 360, from: 5 * time.Second, to: 20 * time.Second, prompt: 60, output: 20, deadline: 6 * time.Second})
		r.play(func() {})
		for _, organisation := range []string{"briefs", "catalogue"} {
			if all := tallyOf(r.requests, organisation); all.goodShare() < 0.99 || tallyOf(r.firstAttempts, organisation).refused > 0 {
				t.Errorf("seed %d: %s: good %.3f, %d refused", seed+1, organisation, all.goodShare(), tallyOf(r.firstAttempts, organisation).refused)
			}
		}
		for _, organisation := range []string{"captions", "flood"} {
			if share := tallyOf(r.requests, organisation).goodShare(); share < 0.95 {
				t.Errorf("seed %d: %.3f of %s were served in five attempts", seed+1, share, organisation)
			}
		}
	}
}

package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"mimosafront/internal/scenario"
	"mimosafront/internal/sleep"
)

const (
	// maxInFlight bounds the requests that wait for an answer.
	maxInFlight = 8192
	// grace is how long a caller waits beyond its deadline.
	grace = 3 * time.Second
	// longestWait bounds a request without a deadline of its own.
	longestWait = 5 * time.Minute
	// progressInterval separates two progress lines.
	progressInterval = time.Second
)

// Config describes a run.
type Config struct {
	Scenario *scenario.Scenario
	// Hosts are addresses of entry hosts, ip:port, loopback only. They take
	// turns, as behind a balancer.
	Hosts []string
	Seed  uint64
	// Skip leaves groups of streams out.
	Skip []string
	// Label is copied to the result.
	Label string
	// KeyPrefix and the caller's name make its bearer key.
	KeyPrefix string
	// Progress receives a line each second; nil discards it.
	Progress io.Writer
}

// CheckLoopback returns an error unless every address is ip:port on loopback.
func CheckLoopback(addresses []string) error {
	for _, address := range addresses {
		host, port, err := net.SplitHostPort(address)
		ip := net.ParseIP(host)
		if err != nil || ip == nil || port == "" {
			return fmt.Errorf("address %q is not ip:port", address)
		}
		if !ip.IsLoopback() {
			return fmt.Errorf("address %q is not on loopback: load is sent to this machine only", address)
		}
	}
	return nil
}

// Run sends the planned requests and returns what came of them.
func Run(ctx context.Context, c Config) (*Result, error) {
	if len(c.Hosts) == 0 {
		return nil, fmt.Errorf("no entry host is named")
	}
	if err := CheckLoopback(c.Hosts); err != nil {
		return nil, err
	}
	plan, err := Plan(c.Scenario, c.Seed, c.Skip)
	if err != nil {
		return nil, err
	}
	r := newRunner(c, plan)
	if err := r.run(ctx); err != nil {
		return nil, err
	}
	return r.result(ctx)
}

// runner sends the requests of one run.
type runner struct {
	config Config
	plan   []Request
	client *client
	begin  time.Time

	mu       sync.Mutex
	records  []Record
	sent     int
	finished int
	outcomes map[Outcome]int
}

func newRunner(c Config, plan []Request) *runner {
	begin := time.Now()
	return &runner{
		config:   c,
		plan:     plan,
		begin:    begin,
		client:   newClient(c.KeyPrefix, begin),
		records:  make([]Record, len(plan)),
		outcomes: map[Outcome]int{},
	}
}

// run starts each request at its time and waits for all.
func (r *runner) run(ctx context.Context) error {
	defer r.client.http.CloseIdleConnections()
	done := make(chan struct{})
	var progress conc.WaitGroup
	progress.Go(func() { r.report(done) })
	var group conc.WaitGroup
	for i := range r.plan {
		if !sleep.For(ctx, time.Until(r.begin.Add(r.plan[i].At))) {
			break
		}
		r.start(ctx, &group, i)
	}
	group.Wait()
	close(done)
	progress.Wait()
	return ctx.Err()
}

func (r *runner) start(ctx context.Context, group *conc.WaitGroup, i int) {
	request := &r.plan[i]
	r.mu.Lock()
	full := r.sent-r.finished >= maxInFlight
	r.sent++
	r.mu.Unlock()
	if full {
		r.finish(i, Record{
			AtMs: milliseconds(request.At), Stream: request.Stream, Group: request.Group,
			Organisation: request.Organisation, Caller: request.Caller, Tier: request.Tier, Outcome: Unsent,
		})
		return
	}
	group.Go(func() { r.finish(i, r.sendAll(ctx, i)) })
}

// sendAll sends a request, and again after each refusal that advises it, through
// another host each time, as behind a balancer. It returns the record of the last
// try.
func (r *runner) sendAll(ctx context.Context, i int) Record {
	request := r.plan[i]
	var refused []string
	for try := 0; ; try++ {
		record := r.sendOnce(ctx, r.config.Hosts[(i+try)%len(r.config.Hosts)], &request)
		record.Tries, record.RefusedIDs = try+1, refused
		record.AtMs = milliseconds(r.plan[i].At)
		record.ReturnedMs = milliseconds(request.At - r.plan[i].At)
		again := !request.Service && record.Outcome == Refused && record.RetryAfterMs > 0 && try < r.config.Scenario.Scenario.Retries
		if !again || !sleep.For(ctx, time.Duration(record.RetryAfterMs*float64(time.Millisecond))) {
			return record
		}
		refused = append(refused, record.ID)
		request.At = time.Since(r.begin)
	}
}

func (r *runner) sendOnce(ctx context.Context, host string, request *Request) Record {
	wait := longestWait
	if request.Deadline > 0 {
		wait = request.Deadline + grace
	}
	bounded, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return r.client.send(bounded, host, request)
}

func (r *runner) finish(i int, record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record.Measured = r.plan[i].At >= scenario.Seconds(r.config.Scenario.Scenario.WarmupS)
	r.records[i] = record
	r.finished++
	r.outcomes[record.Outcome]++
}

// report writes a progress line each interval.
func (r *runner) report(done <-chan struct{}) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		if r.config.Progress == nil {
			continue
		}
		r.mu.Lock()
		fmt.Fprintf(r.config.Progress, "%3.0f s  sent %d of %d, open %d, good %d, late %d, refused %d, failed %d\n",
			time.Since(r.begin).Seconds(), r.sent, len(r.plan), r.sent-r.finished,
			r.outcomes[Good], r.outcomes[Late], r.outcomes[Refused], r.outcomes[Failed])
		r.mu.Unlock()
	}
}

func (r *runner) result(ctx context.Context) (*Result, error) {
	s := r.config.Scenario
	result := &Result{
		Scenario:  s.Name,
		Label:     r.config.Label,
		Seed:      r.config.Seed,
		Skipped:   r.config.Skip,
		Started:   r.begin,
		DurationS: s.Scenario.DurationS,
		WarmupS:   s.Scenario.WarmupS,
		Records:   r.records,
	}
	for _, tier := range s.Policy.Tiers {
		result.Tiers = append(result.Tiers, tier.Name)
	}
	entries, engines, err := readJournals(ctx, s.Policy)
	if err != nil {
		return nil, err
	}
	result.Journals = judge(entries, r.begin, r.records)
	result.Journals.Engines = engines
	return result, nil
}

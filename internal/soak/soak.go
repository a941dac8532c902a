// Package soak runs a fleet of real daemons under load while many faults come
// together, and checks afterwards what must always hold.
//
// The faults are drawn from a seed. What held is read from the journals of the
// stand-in backend servers and from the records of the callers, never from the
// daemons' counters. The daemons' logs only tell which running work they had
// stopped, since an engine may finish it before it hears of that.
package soak

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/sourcegraph/conc"

	"mimosafront/internal/sleep"
)

const (
	// membershipTimeout bounds the time until all hosts see each other.
	membershipTimeout = 30 * time.Second
	// minCalm and maxCalm bound the phase without faults, which lasts a part of
	// the faults' time.
	minCalm, maxCalm, calmDivisor = 2 * time.Second, 5 * time.Second, 6
	// minFlood, maxFlood and floodDivisor are the same for each of the last floods.
	minFlood, maxFlood, floodDivisor = time.Second, 3 * time.Second, 10
	// minAnsweredShare is the share of the requests of the calm phase that must be
	// answered.
	minAnsweredShare = 0.95
)

// Config describes a run.
type Config struct {
	// Daemon is the path of mimosafrontd.
	Daemon string
	Seed   uint64
	// Duration is the time in which faults come.
	Duration time.Duration
	// Faults are the indexes of those faults of the schedule that come; nil is all.
	Faults []int
	// MaxRequests bounds the requests of the callers.
	MaxRequests int
	// Directory receives settings and logs.
	Directory string
	// Output receives a line for each fault.
	Output io.Writer
}

// Result is what came of a run.
type Result struct {
	Faults     []*injectedFault
	Records    []requestRecord
	Operations operationCounts
	// Checked counts what each rule was applied to.
	Checked    map[Rule]int
	Violations []Violation
}

// Run starts a fleet, loads it, injects the faults of the seed's schedule, heals
// and checks. An error means that the run itself failed.
func Run(ctx context.Context, c Config) (*Result, error) {
	f, err := startFleet(ctx, c)
	if err != nil {
		return nil, err
	}
	defer f.close()
	r := &run{config: c, fleet: f, callers: newCallers(f, c), begin: time.Now()}
	r.operations = newOperations(f)
	r.watch = newGenerationWatch(f)
	return r.execute(ctx)
}

// run is a run in progress.
type run struct {
	config     Config
	fleet      *fleet
	callers    *callers
	operations *operations
	watch      *generationWatch
	begin      time.Time
	injected   []*injectedFault
	// poison is the caller whose requests crash engines, until stopPoison.
	poison     conc.WaitGroup
	stopPoison context.CancelFunc
	// healed is when all faults were over and all hosts ready.
	healed time.Time
	// calmBegin is the phase without faults.
	calmBegin, calmEnd time.Time
	failures           []Violation
}

func (r *run) execute(ctx context.Context) (*Result, error) {
	var group conc.WaitGroup
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	group.Go(func() { r.watch.run(loadCtx) })
	group.Go(func() { r.callers.run(loadCtx) })
	poisonCtx, stopPoison := context.WithCancel(loadCtx)
	r.stopPoison = stopPoison
	r.poison.Go(func() { r.callers.runPoison(poisonCtx) })
	group.Go(func() { r.operations.run(loadCtx) })
	err := r.runPhases(ctx)
	stopLoad()
	group.Wait()
	stopPoison()
	r.poison.Wait()
	r.callers.floods.Wait()
	if err != nil {
		return nil, err
	}
	return r.check()
}

// runPhases injects the faults, heals, and loads the healed fleet.
func (r *run) runPhases(ctx context.Context) error {
	r.inject(ctx, Select(Schedule(r.config.Seed, r.config.Duration), r.config.Faults))
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := r.heal(ctx); err != nil {
		return err
	}
	r.runAfterHeal(ctx)
	return ctx.Err()
}

// runAfterHeal loads the healed fleet: a calm phase, then a flood of the lowest tier
// and one of the highest. One backend server is leaving all the time.
func (r *run) runAfterHeal(ctx context.Context) {
	calm := min(max(r.config.Duration/calmDivisor, minCalm), maxCalm)
	flood := min(max(r.config.Duration/floodDivisor, minFlood), maxFlood)
	var group conc.WaitGroup
	group.Go(func() {
		r.injectOne(ctx, Fault{At: time.Since(r.begin), Duration: calm + 2*flood, Kind: KindLeaving, Target: engineNames[0]})
	})
	r.calmBegin = time.Now()
	sleep.For(ctx, calm)
	r.calmEnd = time.Now()
	// An answer of the calm phase that lasts into a flood may be revoked for it.
	r.callers.awaitAnswers(ctx, r.calmEnd)
	for _, kind := range []Kind{KindFloodLow, KindFloodHigh} {
		r.injectOne(ctx, Fault{At: time.Since(r.begin), Duration: flood, Kind: kind})
	}
	group.Wait()
}

// heal ends all faults and waits until the fleet is whole.
func (r *run) heal(ctx context.Context) error {
	r.stopPoison()
	if err := r.fleet.heal(ctx); err != nil {
		return err
	}
	r.healed = time.Now()
	r.printf("%8s  healed", r.since(r.healed))
	r.failures = append(r.failures, r.fleet.awaitPolicy(ctx)...)
	if !r.fleet.awaitMembership(ctx) {
		r.failures = append(r.failures, Violation{Rule: RuleRecovery, Detail: fmt.Sprintf("the hosts did not see each other alive within %s after the heal", membershipTimeout)})
	}
	// Requests of the faults' time end, and so do the crashes of the last poison.
	r.poison.Wait()
	r.callers.floods.Wait()
	sleep.For(ctx, engineConfig.DownTime)
	return ctx.Err()
}

func (r *run) since(t time.Time) string {
	return fmt.Sprintf("%.2fs", t.Sub(r.begin).Seconds())
}

func (r *run) printf(format string, args ...any) {
	r.fleet.printMu.Lock()
	defer r.fleet.printMu.Unlock()
	fmt.Fprintf(r.config.Output, format+"\n", args...)
}

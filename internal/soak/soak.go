// Package soak runs a fleet of daemon processes under load with overlapping faults
// (fault injection), and checks invariants afterwards.
//
// The faults are generated from a seed. The rules are checked against the journals of
// the stand-in backend servers and the records of the callers, never against the
// daemons' counters. The daemons' logs serve only to find running work that they had
// stopped, since an engine may finish it before the revocation arrives.
package soak

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"mimosafront/internal/sleep"
)

const (
	// membershipTimeout bounds the time until all hosts report all members as alive.
	membershipTimeout = 30 * time.Second
	// minCalm and maxCalm bound the calm phase after the heal, which lasts
	// 1/calmDivisor of the duration of the faults.
	minCalm, maxCalm, calmDivisor = 2 * time.Second, 5 * time.Second, 6
	// minFlood, maxFlood and floodDivisor are the same for each flood after the calm
	// phase.
	minFlood, maxFlood, floodDivisor = time.Second, 3 * time.Second, 10
	// minAnsweredShare is the minimum share of answered requests in the calm phase.
	minAnsweredShare = 0.95
)

// Config describes a run.
type Config struct {
	// Daemon is the path of the mimosafrontd binary.
	Daemon string
	// Seed determines the schedule of faults.
	Seed uint64
	// Duration is the time in which faults start.
	Duration time.Duration
	// Faults are the indexes of the faults in the schedule to inject; nil means all.
	Faults []int
	// MaxRequests bounds the number of requests of the callers.
	MaxRequests int
	// Directory is where settings and logs are written.
	Directory string
	// Store is the store that the hosts read. It is nil for the project's configuration
	// service.
	Store Store
	// Output receives a line for each fault.
	Output io.Writer
}

// Result is the outcome of a run.
type Result struct {
	Faults     []*injectedFault
	Records    []requestRecord
	Operations operationCounts
	// Checked counts the cases that each rule was applied to.
	Checked    map[Rule]int
	Violations []Violation
}

// Run starts a fleet under load, injects the faults of the seed's schedule, heals the
// fleet and checks the rules. Violations are in the Result; an error means that the run
// could not be completed.
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
	// probes are the requests with revoked keys; drills keeps drills from overlapping.
	probes []revokedProbe
	drills sync.Mutex
	// probing waits for the senders of probes.
	probing conc.WaitGroup
	// poison waits for the caller of poison requests, which stopPoison stops.
	poison     conc.WaitGroup
	stopPoison context.CancelFunc
	// healed is when all faults had ended and all hosts were ready.
	healed time.Time
	// calmBegin and calmEnd delimit the calm phase.
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
	if r.config.Store == nil {
		r.poison.Go(func() { r.callers.runPoison(poisonCtx) })
		group.Go(func() { r.operations.run(loadCtx) })
	} else {
		group.Go(func() { r.fleet.renewRegistrations(loadCtx) })
	}
	err := r.runPhases(ctx)
	stopLoad()
	group.Wait()
	stopPoison()
	r.poison.Wait()
	r.probing.Wait()
	r.callers.floods.Wait()
	if err != nil {
		return nil, err
	}
	return r.check()
}

// runPhases injects the faults, heals the fleet, and runs the phases after the heal.
func (r *run) runPhases(ctx context.Context) error {
	r.inject(ctx, Select(r.config.Schedule(), r.config.Faults))
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := r.heal(ctx); err != nil {
		return err
	}
	if r.config.Store != nil {
		r.runStoreAfterHeal(ctx)
	} else {
		r.runAfterHeal(ctx)
	}
	return ctx.Err()
}

// runAfterHeal runs a calm phase, then a flood of the lowest tier and one of the
// highest. One backend server is leaving throughout, and another one announces in its
// answers that it is. At last engines answer without an end.
func (r *run) runAfterHeal(ctx context.Context) {
	calm := min(max(r.config.Duration/calmDivisor, minCalm), maxCalm)
	flood := min(max(r.config.Duration/floodDivisor, minFlood), maxFlood)
	var group conc.WaitGroup
	group.Go(func() {
		r.injectOne(ctx, Fault{At: time.Since(r.begin), Duration: calm + 2*flood, Kind: KindLeaving, Target: engineNames[0]})
	})
	group.Go(func() {
		r.injectOne(ctx, Fault{At: time.Since(r.begin), Duration: calm + 2*flood, Kind: KindAnnouncedLeave, Target: engineNames[3]})
	})
	r.calmBegin = time.Now()
	sleep.For(ctx, calm)
	r.calmEnd = time.Now()
	// A flood may revoke requests of the calm phase that are still running.
	r.callers.awaitAnswers(ctx, r.calmEnd)
	for _, kind := range []Kind{KindFloodLow, KindFloodHigh} {
		r.injectOne(ctx, Fault{At: time.Since(r.begin), Duration: flood, Kind: kind})
	}
	group.Wait()
	for i, mode := range endlessModes {
		r.injectOne(ctx, Fault{At: time.Since(r.begin), Duration: minFaultDuration, Kind: KindEndlessAnswers, Target: engineNames[1+i], Mode: mode})
	}
}

// heal ends all faults and waits until all hosts are ready and have the newest policy
// and the full membership.
func (r *run) heal(ctx context.Context) error {
	r.stopPoison()
	if err := r.fleet.heal(ctx); err != nil {
		return err
	}
	r.healed = time.Now()
	r.printf("%8s  healed", r.since(r.healed))
	r.failures = append(r.failures, r.fleet.awaitPolicy(ctx)...)
	if !r.fleet.awaitMembership(ctx) {
		r.failures = append(r.failures, Violation{Rule: RuleRecovery, Detail: fmt.Sprintf("the hosts did not report each other as alive within %s after the heal", membershipTimeout)})
	}
	// Wait for flood and poison requests, and for engines that the last poison
	// request crashed.
	r.poison.Wait()
	r.callers.floods.Wait()
	sleep.For(ctx, engineConfig.DownTime)
	// Hosts avoid engines that announced to leave, although these go on serving.
	sleep.For(ctx, time.Until(r.fleet.announcementsEnd()))
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

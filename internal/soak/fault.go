package soak

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"mimosafront/internal/confsource"
	"mimosafront/internal/faultproxy"
	"mimosafront/internal/sleep"
	"mimosafront/internal/standin/engine"
)

// stragglerSlowdown is the factor by which a straggler is slower.
const stragglerSlowdown = 8

// injectedFault is an applied fault.
type injectedFault struct {
	Fault
	// Began is when the fault was applied, Ended when it was undone.
	Began, Ended time.Time
	// Note is the reason why the fault had no effect; empty if it had one.
	Note string
}

// inject applies the faults of a schedule at their times and returns once all have
// been undone.
func (r *run) inject(ctx context.Context, schedule []Fault) {
	var group conc.WaitGroup
	for _, fault := range schedule {
		if !sleep.For(ctx, time.Until(r.begin.Add(fault.At))) {
			break
		}
		group.Go(func() { r.injectOne(ctx, fault) })
	}
	group.Wait()
}

// injectOne applies a fault, waits for its duration and undoes it.
func (r *run) injectOne(ctx context.Context, fault Fault) {
	in := &injectedFault{Fault: fault, Began: time.Now()}
	r.fleet.mu.Lock()
	r.injected = append(r.injected, in)
	r.fleet.mu.Unlock()
	r.printf("%8s  %s", r.since(in.Began), fault)
	undo, note := r.apply(ctx, fault)
	if in.Note = note; note != "" {
		r.printf("%8s  %s: %s", r.since(time.Now()), fault, note)
	}
	sleep.For(ctx, fault.Duration)
	undo()
	in.Ended = time.Now()
}

// apply applies a fault and returns a function that undoes it.
func (r *run) apply(ctx context.Context, fault Fault) (undo func(), note string) {
	f := r.fleet
	switch fault.Kind {
	case KindEvacuation:
		return f.evacuate(fault.Target), ""
	case KindCold:
		return f.makeCold(fault.Target, fault.Duration), ""
	case KindDrill:
		return r.drill(ctx)
	case KindKill, KindPause, KindRestart:
		return f.applyToHost(ctx, fault)
	case KindZoneCut, KindOneWayCut, KindSilentLinks:
		return f.applyToLinks(fault), ""
	case KindEngineCrash:
		f.engines[fault.Target].Crash(fault.Duration)
		return func() {}, ""
	case KindStraggler:
		f.engines[fault.Target].SetSlowdown(stragglerSlowdown)
		return func() { f.engines[fault.Target].SetSlowdown(1) }, ""
	case KindLeaving:
		return f.markLeaving(fault.Target), ""
	case KindAnnouncedLeave:
		return f.announceLeaving(fault.Target), ""
	case KindEndlessAnswers:
		f.engines[fault.Target].SetEndless(fault.Mode)
		return func() { f.engines[fault.Target].SetEndless(engine.EndlessNone) }, ""
	case KindFloodLow:
		return r.callers.flood(ctx, tiers[len(tiers)-1]), ""
	case KindFloodHigh:
		return r.callers.flood(ctx, tiers[0]), ""
	}
	return f.applyToPlatform(fault)
}

func (f *fleet) applyToHost(ctx context.Context, fault Fault) (func(), string) {
	h := f.hosts[fault.Target]
	restart := func() { _ = h.start() }
	const ended = "not running, or already stopping"
	switch fault.Kind {
	case KindPause:
		p := h.pause()
		if p == nil {
			return func() {}, ended
		}
		return func() { h.resume(p) }, ""
	case KindKill:
		if !h.kill() {
			return restart, ended
		}
	case KindRestart:
		if !h.stop(ctx) {
			return restart, ended
		}
	}
	return restart, ""
}

func (f *fleet) applyToLinks(fault Fault) (undo func()) {
	inside := func(host string) bool { return host[:1] == fault.Target }
	switch fault.Kind {
	case KindZoneCut:
		return f.links.Partition(inside)
	case KindOneWayCut:
		return f.links.CutOneWay(fault.Target, fault.Other)
	}
	f.links.BlackholeOpen(inside)
	for name, p := range f.serverProxies {
		if inside(name) {
			p.Blackhole(faultproxy.ExistingOnly)
		}
	}
	return func() {}
}

// markLeaving publishes that a backend server is leaving, until the returned function
// is called.
func (f *fleet) markLeaving(server string) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving[server]++
	l := &leavePeriod{server: server, begin: time.Now()}
	f.leavePeriods = append(f.leavePeriods, l)
	_ = f.publishHosts()
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.leaving[server]--
		// Hosts may dispatch to the server again as soon as the list is published.
		l.end = time.Now()
		_ = f.publishHosts()
	}
}

// announceLeaving makes an engine say in its answers that it is leaving, until the
// returned function is called. The platform's list doesn't say so.
func (f *fleet) announceLeaving(server string) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := &leavePeriod{server: server, begin: time.Now()}
	f.announcedLeaves = append(f.announcedLeaves, l)
	f.announcing[server]++
	f.engines[server].SetAnnouncesLeaving(true)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		l.end = time.Now()
		f.announcing[server]--
		f.engines[server].SetAnnouncesLeaving(f.announcing[server] > 0)
	}
}

// announcementsEnd returns when hosts use all engines again that have announced to leave.
func (f *fleet) announcementsEnd() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var end time.Time
	for _, l := range f.announcedLeaves {
		if e := l.end.Add(announcementTTL); e.After(end) {
			end = e
		}
	}
	return end
}

func (f *fleet) applyToPlatform(fault Fault) (undo func(), note string) {
	switch fault.Kind {
	case KindPlatformDown:
		if f.store != nil {
			f.store.SetDown(true)
			return func() { f.store.SetDown(false) }, ""
		}
		f.platform.SetDown(true)
		return func() { f.platform.SetDown(false) }, ""
	case KindPlatformStale:
		f.platform.SetStale(true)
	case KindPlatformRevert:
		f.platform.Revert(confsource.KeyManifest, 1)
		f.platform.Revert(confsource.KeyHosts, 1)
	case KindPolicy:
		if err := f.publishPolicy(); err != nil {
			note = err.Error()
		}
		return func() {}, note
	}
	return func() { f.platform.SetStale(false) }, ""
}

// heal ends remaining platform and proxy faults, starts all hosts and waits until
// they are ready.
func (f *fleet) heal(ctx context.Context) error {
	f.platform.SetDown(false)
	f.platform.SetStale(false)
	if f.store != nil {
		f.store.SetDown(false)
	}
	for _, p := range f.serverProxies {
		p.ResetConnections()
	}
	for _, h := range f.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

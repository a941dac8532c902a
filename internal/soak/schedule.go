package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mimosafront/internal/standin/engine"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	KindKill           Kind = "kill"
	KindPause          Kind = "pause"
	KindRestart        Kind = "planned_restart"
	KindZoneCut        Kind = "zone_cut"
	KindOneWayCut      Kind = "one_way_cut"
	KindSilentLinks    Kind = "silent_links"
	KindEngineCrash    Kind = "engine_crash"
	KindStraggler      Kind = "straggler"
	KindLeaving        Kind = "leaving_server"
	KindAnnouncedLeave Kind = "announced_leave"
	KindEndlessAnswers Kind = "endless_answers"
	KindPlatformDown   Kind = "platform_down"
	KindPlatformStale  Kind = "platform_stale"
	KindPlatformRevert Kind = "platform_revert"
	KindPolicy         Kind = "policy_change"
	KindFloodLow       Kind = "flood_lowest"
	KindFloodHigh      Kind = "flood_highest"
	KindEvacuation     Kind = "evacuation"
	KindCold           Kind = "cold_servers"
	KindDrill          Kind = "store_drill"
)

var kinds = []Kind{
	KindKill, KindPause, KindRestart, KindZoneCut, KindOneWayCut, KindSilentLinks, KindEngineCrash, KindStraggler,
	KindLeaving, KindPlatformDown, KindPlatformStale, KindPlatformRevert, KindPolicy, KindFloodLow, KindFloodHigh,
}

// answerKinds are faults in the answers of engines. They are drawn apart from kinds, so
// that a seed keeps its other faults.
var answerKinds = []Kind{KindAnnouncedLeave, KindEndlessAnswers}

// The zones, entry hosts and engines of the fleet. The first letter of a name is its
// zone.
var (
	zoneNames   = []string{"a", "b", "c"}
	hostNames   = []string{"a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2"}
	engineNames = []string{"a-e1", "a-e2", "b-e1", "b-e2", "c-e1", "c-e2"}
)

const (
	// minGap and maxGap bound the time between the starts of two faults.
	minGap = 200 * time.Millisecond
	maxGap = 1600 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 500 * time.Millisecond
	maxFaultDuration = 5 * time.Second
	// durationPrecision is the precision of printed durations.
	durationPrecision = 10 * time.Millisecond
	// minLeavingDuration is the minimum duration of KindLeaving, to which the drawn
	// duration is added.
	minLeavingDuration = 8 * time.Second
	// minAnnouncedLeave and maxAnnouncedLeave bound the duration of KindAnnouncedLeave.
	// Hosts avoid the server for a time after an announcement; all have heard of it within
	// the minimum.
	minAnnouncedLeave = 5 * time.Second
	maxAnnouncedLeave = 9 * time.Second
	// minAnswerGap and maxAnswerGap bound the time between the starts of two answerKinds.
	minAnswerGap = 2 * time.Second
	maxAnswerGap = 12 * time.Second
	// maxOverrun is how long faults may last after the schedule's duration.
	maxOverrun = 2 * time.Second
	// repeatShare is the share of faults that are repeated while the first is still
	// active, or shortly after it.
	repeatShare = 0.25
	// maxRepeatGap bounds the time between the starts of a fault and its repetition.
	maxRepeatGap = time.Second
)

// Fault is a fault of a schedule.
type Fault struct {
	// At is the start, as the time since the start of the schedule.
	At       time.Duration
	Duration time.Duration
	// Target is the affected host, zone or engine, depending on Kind; empty for
	// faults of the platform, policy and load.
	Kind   Kind
	Target string
	// Other is the host that Target can't reach in a one-way cut.
	Other string
	// Mode says where endless answers begin to make no sense.
	Mode engine.EndlessMode
}

// endlessModes are the modes of KindEndlessAnswers.
var endlessModes = []engine.EndlessMode{engine.EndlessHeader, engine.EndlessLine, engine.EndlessComments}

// String returns the kind, the target and the duration.
func (f Fault) String() string {
	target := f.Target
	if f.Other != "" {
		target += "->" + f.Other
	}
	if f.Mode != "" {
		target += "/" + string(f.Mode)
	}
	return fmt.Sprintf("%-16s %-8s for %s", f.Kind, target, f.Duration.Round(durationPrecision))
}

// Schedule generates the faults of a run from a seed, in order of their start. Apart
// from repetitions, every kind occurs once before any occurs again.
func Schedule(seed uint64, duration time.Duration) []Fault {
	faults := append(
		drawFaults(rand.New(rand.NewPCG(seed, 0)), kinds, duration, minGap, maxGap),
		drawFaults(rand.New(rand.NewPCG(seed, 1)), answerKinds, duration, minAnswerGap, maxAnswerGap)...)
	for i := range faults {
		faults[i].Duration = min(faults[i].Duration, duration+maxOverrun-faults[i].At)
	}
	slices.SortStableFunc(faults, func(x, y Fault) int { return int(x.At - y.At) })
	return faults
}

// drawFaults draws faults of some kinds that start within a duration, with gaps between
// minGap and maxGap.
func drawFaults(random *rand.Rand, kinds []Kind, duration, minGap, maxGap time.Duration) []Fault {
	var faults []Fault
	var remainingKinds []Kind
	for at := minGap; at < duration; at += randomDuration(random, minGap, maxGap) {
		if len(remainingKinds) == 0 {
			remainingKinds = slices.Clone(kinds)
			random.Shuffle(len(remainingKinds), func(i, j int) { remainingKinds[i], remainingKinds[j] = remainingKinds[j], remainingKinds[i] })
		}
		fault := drawFault(random, remainingKinds[0], at)
		remainingKinds = remainingKinds[1:]
		faults = append(faults, fault)
		if random.Float64() < repeatShare {
			faults = append(faults, repeatFault(random, fault))
		}
	}
	return faults
}

func drawFault(random *rand.Rand, kind Kind, at time.Duration) Fault {
	f := Fault{At: at, Duration: randomDuration(random, minFaultDuration, maxFaultDuration), Kind: kind}
	switch kind {
	case KindKill, KindPause, KindRestart:
		f.Target = pickRandom(random, hostNames)
	case KindZoneCut, KindSilentLinks:
		f.Target = pickRandom(random, zoneNames)
	case KindEngineCrash, KindStraggler:
		f.Target = pickRandom(random, engineNames)
	case KindLeaving:
		f.Target = pickRandom(random, engineNames)
		f.Duration += minLeavingDuration
	case KindAnnouncedLeave:
		f.Target = pickRandom(random, engineNames)
		f.Duration = randomDuration(random, minAnnouncedLeave, maxAnnouncedLeave)
	case KindEvacuation, KindCold:
		f.Target = pickRandom(random, zoneNames)
		f.Duration += minEvacuation
	case KindEndlessAnswers:
		f.Target = pickRandom(random, engineNames)
		f.Mode = pickRandom(random, endlessModes)
	case KindOneWayCut:
		f.Target = pickRandom(random, hostNames)
		f.Other = pickRandom(random, slices.DeleteFunc(slices.Clone(hostNames), func(name string) bool { return name == f.Target }))
	}
	return f
}

// repeatFault returns a second fault of the same kind, with probability 1/2 on the
// same target.
func repeatFault(random *rand.Rand, f Fault) Fault {
	second := drawFault(random, f.Kind, f.At+randomDuration(random, minGap, maxRepeatGap))
	if random.IntN(2) == 0 {
		second.Target, second.Other = f.Target, f.Other
	}
	return second
}

func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

func pickRandom[T any](random *rand.Rand, list []T) T { return list[random.IntN(len(list))] }

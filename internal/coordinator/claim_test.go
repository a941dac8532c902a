package coordinator

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"mimosafront/internal/message"
	"mimosafront/internal/policy"
	"mimosafront/internal/settings"
)

// The rate limit of the organisation that floods, and what operators tolerate.
const (
	floodRate    = 20_000
	floodBurst   = 20_000
	rateWindow   = 8 * time.Second
	rateOverage  = 0.25
	rateSlack    = 190_000
	floodClaim   = 30_000
	floodSpacing = 20 * time.Millisecond
	// restartSteps separate two replacements of a coordinator.
	restartSteps = 10
)

// rateZone is the coordinator of one zone.
type rateZone struct {
	state *State
	pool  message.Pool
	host  string
	// starts numbers the coordinators that the zone had.
	starts int
}

func floodPolicy(t *testing.T) *policy.Policy {
	t.Helper()
	text, err := os.ReadFile("../../examples/consortium.policy.ini")
	if err != nil {
		t.Fatal(err)
	}
	limit := fmt.Sprintf("[organisation aurora]\nquota_tokens_per_s = %d\nquota_burst_tokens = %d\n", floodRate, floodBurst)
	changed := strings.Replace(string(text), "[organisation aurora]\n", limit, 1)
	p, err := policy.Parse("flood", []byte(changed))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// restart replaces the coordinator of a zone by one that knows nothing.
func (z *rateZone) restart(now time.Time, p *policy.Policy) {
	z.starts++
	z.host = fmt.Sprintf("%s-%d", z.pool.Zone, z.starts)
	z.state = New(Config{Host: z.host, Zone: z.pool.Zone, Incarnation: z.starts, Scheduler: settings.Scheduler{
		Algorithm: settings.SchedulerAlgorithmFair, MaxWaiting: 10_000, MaxWaitingTokens: 100_000_000, GrantLifetimeMs: 1000,
		GapTargetMs: 75, FirstTokenTargetMs: 10_000,
		RateOverage: rateOverage, RateSlackTokens: rateSlack, RateWindowMs: int(rateWindow.Milliseconds()),
	}})
	z.state.SetPolicy(now, p)
	z.state.SetOwned(now, []message.Pool{z.pool})
	z.state.SetFronts(now, nil)
}

// An organisation floods in through two zones while their coordinators are replaced
// again and again. In no window of the operators' length more is granted than they
// tolerate.
func TestRateLimitHoldsWhileCoordinatorsChange(t *testing.T) {
	p := floodPolicy(t)
	zones := []*rateZone{
		{pool: message.Pool{Zone: "lisbon-a", Target: pool.Target}},
		{pool: message.Pool{Zone: "lisbon-b", Target: pool.Target}},
	}
	meet := func(now time.Time) {
		for i, z := range zones {
			z.state.SetSiblings(now, map[message.Pool][]string{z.pool: {zones[1-i].host}})
		}
	}
	for _, z := range zones {
		z.restart(start, p)
	}
	meet(start)
	type granted struct {
		at     time.Time
		tokens int
	}
	var grants []granted
	const steps = int(24 * time.Second / floodSpacing)
	for step := range steps {
		now := start.Add(time.Duration(step) * floodSpacing)
		if step > 0 && step%restartSteps == 0 {
			zones[step/restartSteps%2].restart(now, p)
			meet(now)
		}
		for i, z := range zones {
			a := ask(fmt.Sprintf("r%d-%d", step, i))
			a.Pool, a.Claim, a.Redirected = z.pool, floodClaim, true
			z.state.Handle(now, "front", &message.Frame{Ask: a})
			z.state.Tick(now)
		}
		for i, z := range zones {
			for _, o := range z.state.TakeOutput() {
				switch {
				case o.Frame.Grant != nil:
					grants = append(grants, granted{now, floodClaim})
					z.state.Handle(now, "front", &message.Frame{Release: &message.Release{
						Grant: o.Frame.Grant.Grant, Request: o.Frame.Grant.Request, Pool: z.pool,
						Outcome: message.ReleaseOutcomeFinished, OutputTokens: 10,
					}})
				case o.Frame.Digest != nil && o.To == zones[1-i].host:
					zones[1-i].state.Handle(now, z.host, &o.Frame)
				}
			}
		}
	}
	tolerated := int((floodRate*rateWindow.Seconds()+floodBurst)*(1+rateOverage)) + rateSlack
	most := 0
	for i, first := range grants {
		sum := 0
		for _, g := range grants[i:] {
			if g.at.Sub(first.at) < rateWindow {
				sum += g.tokens
			}
		}
		most = max(most, sum)
	}
	t.Logf("%d tokens were granted in the fullest window, %d are tolerated", most, tolerated)
	if most > tolerated {
		t.Errorf("%d tokens were granted in a window, operators tolerate %d", most, tolerated)
	}
	if exact := int(floodRate*rateWindow.Seconds()) * 3 / 4; most < exact {
		t.Errorf("%d tokens were granted in the fullest window, far below the limit", most)
	}
}

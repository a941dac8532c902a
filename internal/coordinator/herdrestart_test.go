package coordinator

import (
	"fmt"
	"testing"
	"time"

	"mimosafront/internal/message"
)

// restartLoad is the load of one organisation on three zones whose coordinators all restart
// at once, and are down for a while.
type restartLoad struct {
	// tokensPerS is what it sends, and surgeTokensPerS what it sends within a second of the
	// restart, when the clients whose requests broke off come back.
	tokensPerS, surgeTokensPerS int
}

const (
	restartClaim = 3_000
	restartAt    = 10 * time.Second
	restartDown  = 500 * time.Millisecond
	digestTravel = 5 * time.Millisecond
)

// play returns the tokens granted and refused in the two seconds after the restart, and the
// most that were granted in any window.
func (l restartLoad) play(t *testing.T) (granted, refused, maxWindow int) {
	t.Helper()
	f := &multiZoneFlood{policy: floodPolicy(t), digestDelay: digestTravel}
	for _, name := range []string{"lisbon-a", "lisbon-b", "lisbon-c"} {
		f.zones = append(f.zones, &floodZone{pool: message.Pool{Zone: name, Target: pool.Target}})
	}
	restart := func(now time.Time) {
		for _, z := range f.zones {
			z.restart(now, f.policy)
		}
		f.setSiblings(now)
	}
	restart(start)
	due, id := 0.0, 0
	for passed := time.Duration(0); passed < 2*restartAt; passed += askInterval {
		now, before := start.Add(passed), len(f.grantTimes)
		if passed == restartAt+restartDown {
			restart(now)
		}
		f.deliver(now)
		rate, sent := l.tokensPerS, 0
		if passed >= restartAt+restartDown && passed < restartAt+restartDown+time.Second {
			rate = l.surgeTokensPerS
		}
		if passed < restartAt || passed >= restartAt+restartDown {
			due += float64(rate) * askInterval.Seconds()
		}
		for ; due >= restartClaim; due -= restartClaim {
			id++
			sent++
			z := f.zones[id%len(f.zones)]
			a := ask(fmt.Sprintf("r%d", id))
			a.Pool, a.Claim, a.Redirected = z.pool, restartClaim, true
			z.state.Handle(now, "front", &message.Frame{Ask: a})
		}
		for _, z := range f.zones {
			z.state.Tick(now)
			f.handleOutput(now, z)
		}
		if since := passed - restartAt - restartDown; since >= 0 && since < 2*time.Second {
			got := len(f.grantTimes) - before
			granted, refused = granted+got*restartClaim, refused+(sent-got)*restartClaim
		}
	}
	return granted, refused, f.maxWindowTokens() / floodClaim * restartClaim
}

// An organisation at half of its rate limit, whose clients come back at three times their usual
// rate, is hardly refused after a restart of all hosts. One that floods gets no more than
// operators tolerate.
func TestRateLimitAfterAllHostsRestart(t *testing.T) {
	const limit = ((floodRate*8+floodBurst)*(1+rateOverage) + usableSlackShare*rateSlack) / 8 // tokens per second
	granted, refused, _ := restartLoad{tokensPerS: limit / 2, surgeTokensPerS: 3 * limit / 2}.play(t)
	t.Logf("%d tokens granted and %d refused in two seconds", granted, refused)
	if refused > (granted+refused)/5 {
		t.Errorf("%d tokens were refused of %d", refused, granted+refused)
	}
	_, _, maxWindow := restartLoad{tokensPerS: 5 * limit, surgeTokensPerS: 10 * limit}.play(t)
	tolerated := int((floodRate*rateWindow.Seconds()+floodBurst)*(1+rateOverage)) + rateSlack
	t.Logf("at most %d tokens were granted in a window, %d are tolerated", maxWindow, tolerated)
	if maxWindow > tolerated {
		t.Errorf("%d tokens were granted in a window, operators tolerate %d", maxWindow, tolerated)
	}
}

package experiment

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"mimosafront/internal/faultproxy"
	"mimosafront/internal/policy"
	"mimosafront/internal/scenario"
	"mimosafront/internal/sleep"
)

// jitterShare of a link's delay is added to it at most, at random.
const jitterShare = 0.5

// openLinks puts proxies between the entry hosts of a run that cuts zones off.
// They delay what passes between zones as the policy says of its links.
func (f *fleet) openLinks(run runConfig, ports []string) error {
	if len(run.zoneCuts) == 0 {
		return nil
	}
	addresses := map[string]string{}
	for i := 0; 3*i < len(ports); i++ {
		addresses[hostName(i)] = ports[3*i+2]
	}
	var err error
	if f.links, err = faultproxy.NewMesh(addresses); err != nil {
		return err
	}
	f.links.SetLinkFaults(func(link faultproxy.Link) faultproxy.Faults { return f.delay(run.policy, link) })
	return nil
}

// delay returns the delay between two zones: the longer of their links' delays.
func (f *fleet) delay(p *policy.Policy, link faultproxy.Link) faultproxy.Faults {
	from, to := f.zones[link.From], f.zones[link.To]
	if from == to {
		return faultproxy.Faults{}
	}
	delay := time.Duration(max(p.Zones[from].LinkMs, p.Zones[to].LinkMs)) * time.Millisecond
	return faultproxy.Faults{Delay: delay, Jitter: time.Duration(jitterShare * float64(delay))}
}

// startCuts cuts zones off at their times, counted from now, until the result is
// called.
func (f *fleet) startCuts(ctx context.Context, cuts []scenario.Fault) (end func()) {
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	for _, cut := range cuts {
		group.Go(func() { f.cutZone(ctx, cut) })
	}
	return func() {
		cancel()
		group.Wait()
	}
}

func (f *fleet) cutZone(ctx context.Context, cut scenario.Fault) {
	if !sleep.For(ctx, scenario.Seconds(cut.AtS)) {
		return
	}
	heal := f.links.Partition(func(host string) bool { return f.zones[host] == cut.Zone })
	defer heal()
	if cut.ForS == 0 {
		<-ctx.Done()
		return
	}
	sleep.For(ctx, scenario.Seconds(cut.ForS))
}

package sched

import (
	"fmt"
	"testing"
	"time"
)

// evacuate closes or opens all servers of a pool.
func evacuate(p *Pool, now time.Time, evacuated bool) {
	list := make([]Server, len(p.servers))
	for i, s := range p.servers {
		list[i] = s.Server
		list[i].Evacuated = evacuated
	}
	p.SetServers(now, list)
}

// TestEvacuatedPoolRefusesAtOnce replays an evacuation while requests wait, and new ones
// arrive: they must reach other zones without the delay that is granted to lost servers, the
// urgent ones first. What runs ends where it is, and the servers are used again afterwards.
func TestEvacuatedPoolRefusesAtOnce(t *testing.T) {
	p := newTestPool(1, 1)
	for i, tier := range []int{0, 2, 1, 2} {
		p.Add(start, request(fmt.Sprint("r", i), tier, 10, time.Hour))
	}
	expectActions(t, p, "grant r0")
	evacuate(p, start, true)
	expectActions(t, p, "refuse r2 no_server, refuse r3 no_server, refuse r1 no_server")
	if _, _, running := p.GrantOf("r0"); !running || p.TakesWork() || p.Load(start).Servers != 0 {
		t.Error("the running request was dropped, or the pool takes work")
	}
	p.Add(start, request("r4", 0, 10, time.Hour))
	expectActions(t, p, "refuse r4 no_server")
	evacuate(p, start, false)
	p.Add(start, request("r5", 0, 10, time.Hour))
	if !p.IsWaiting("r5") || !p.TakesWork() {
		t.Error("the pool takes no work after its zone was taken back")
	}
}

// TestServersThatLeaveAreNoEvacuation checks that requests still wait for the servers of a
// pool that all leave, or load models: others may take their place.
func TestServersThatLeaveAreNoEvacuation(t *testing.T) {
	p := newTestPool(1, 1)
	p.Add(start, request("r0", 1, 10, time.Hour))
	p.Add(start, request("r1", 1, 10, time.Hour))
	expectActions(t, p, "grant r0")
	leaving := p.servers[0].Server
	leaving.Leaving = true
	p.SetServers(start, []Server{leaving})
	if expectActions(t, p, ""); !p.IsWaiting("r1") {
		t.Error("the waiting request was refused")
	}
}

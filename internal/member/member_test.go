package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mimosafront/internal/message"
)

func smallFleet(t *testing.T) *network {
	t.Helper()
	n := newNetwork(t, "a1", "a2", "a3", "b1", "b2", "c1", "c2", "c3")
	n.advance(5 * time.Second)
	return n
}

func (n *network) wantZone(t *testing.T, host, zone string, want ...string) {
	t.Helper()
	if got := n.hosts[host].state.View().Zones[zone]; !slices.Equal(got, want) {
		t.Errorf("%s has hosts %v in zone %s, want %v", host, got, zone, want)
	}
}

func (n *network) cutZone(zone string) {
	for _, x := range n.names() {
		for _, y := range n.names() {
			if (x[:1] == zone) != (y[:1] == zone) {
				n.cut[[2]string{x, y}] = true
			}
		}
	}
}

func TestPauseDiscardsView(t *testing.T) {
	n := smallFleet(t)
	a1 := n.hosts["a1"]
	a1.paused = true
	n.advance(30 * time.Second)
	a1.state.Tick(n.now)
	if a1.state.Joined() || len(a1.state.View().Zones) > 0 {
		t.Fatalf("after a pause a1 still has hosts %v", a1.state.View().Zones)
	}
	if !slices.Contains(a1.state.TakeEvents(), Event{Kind: EventResumed, Host: "a1"}) {
		t.Error("no EventResumed after a pause")
	}
	a1.paused = false
	n.advance(2 * time.Second)
	n.wantZone(t, "a1", "a", "a1", "a2", "a3")
	n.wantZone(t, "b1", "a", "a1", "a2", "a3")
}

func TestSuspensionIsAPause(t *testing.T) {
	n := smallFleet(t)
	state := n.hosts["a1"].state
	state.TakeEvents()
	state.HandleSuspension(n.now)
	if state.Joined() {
		t.Error("the host kept its duties after a suspension")
	}
	if events := state.TakeEvents(); !slices.Contains(events, Event{Kind: EventResumed, Host: "a1"}) {
		t.Errorf("no EventResumed after a suspension in %v", events)
	}
}

func TestLeavingServerIsKnownEverywhereAtOnce(t *testing.T) {
	for _, reader := range []string{"a1", "a2", "a3", "b1", "c3"} {
		n := smallFleet(t)
		list := []PublishedHost{{Name: "engine1", Zone: "a", Leaving: true}}
		n.hosts[reader].state.SetHosts(n.now, 2, list)
		n.collect()
		n.advance(4 * step)
		for _, name := range n.names() {
			if !n.hosts[name].state.View().LeavingServers["engine1"] {
				t.Errorf("%s applied the list; %s has no leaving server after %s", reader, name, 4*step)
			}
		}
	}
}

func TestOlderHostListIsIgnored(t *testing.T) {
	n := smallFleet(t)
	a1 := n.hosts["a1"].state
	a1.SetHosts(n.now, 5, []PublishedHost{{Name: "engine1", Leaving: true}})
	a1.SetHosts(n.now, 4, []PublishedHost{{Name: "engine1", Leaving: false}})
	if !a1.View().LeavingServers["engine1"] {
		t.Error("an older list cancelled the leaving state of a server")
	}
	a1.SetHosts(n.now, 6, []PublishedHost{{Name: "engine1", Leaving: false}})
	if a1.View().LeavingServers["engine1"] {
		t.Error("a newer list did not cancel the leaving state of a server")
	}
}

func TestRefusedConnectionSuspectsAtOnce(t *testing.T) {
	n := smallFleet(t)
	n.hosts["a1"].state.LinkFailed(n.now, "a2", true)
	n.wantZone(t, "a1", "a", "a1", "a3")
}

func TestZoneCutAndHealed(t *testing.T) {
	n := smallFleet(t)
	n.cutZone("b")
	n.advance(2 * testSuspect)
	n.wantZone(t, "a1", "b")
	n.wantZone(t, "c3", "b")
	n.wantZone(t, "b1", "b", "b1", "b2")
	n.wantZone(t, "b1", "a")
	n.advance(time.Minute)
	n.cut = map[[2]string]bool{}
	n.advance(10 * time.Second)
	n.wantZone(t, "a1", "b", "b1", "b2")
	n.wantZone(t, "b1", "a", "a1", "a2", "a3")
}

func TestLastHostOfAZoneKeepsItsDutiesWhileLeaving(t *testing.T) {
	n := smallFleet(t)
	n.hosts["b1"].state.Leave(n.now)
	n.advance(time.Second)
	n.wantZone(t, "b1", "b", "b2")
	n.wantZone(t, "a1", "b", "b2")
	n.hosts["b2"].state.Leave(n.now)
	n.advance(time.Second)
	n.wantZone(t, "b2", "b", "b2")
}

func TestRestartedHostRejoinsEverywhere(t *testing.T) {
	n := smallFleet(t)
	n.start("a2")
	n.advance(3 * time.Second)
	for _, name := range n.names() {
		n.wantZone(t, name, "a", "a1", "a2", "a3")
	}
	for _, m := range n.hosts["c1"].state.Members(n.now) {
		if want := n.hosts["a2"].incarnation; m.Host == "a2" && m.Incarnation != want {
			t.Errorf("c1 has incarnation %d of a2, want %d", m.Incarnation, want)
		}
	}
}

// TestHostIsHeardAfterItsClockWasSetBack guards against a host that starts again after its
// clock was set back and is ignored by the others, which know its earlier process.
func TestHostIsHeardAfterItsClockWasSetBack(t *testing.T) {
	for name, prepare := range map[string]func(n *network){
		"at once":              func(*network) {},
		"declared dead before": func(n *network) { n.hosts["a2"].down = true; n.advance(2 * testDead) },
		"all start again":      func(n *network) { n.start("a1"); n.start("a3") },
		"had left before":      func(n *network) { n.hosts["a2"].state.Leave(n.now); n.advance(time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			n := smallFleet(t)
			prepare(n)
			n.startBefore("a2")
			n.advance(5 * time.Second)
			for _, name := range n.names() {
				n.wantZone(t, name, "a", "a1", "a2", "a3")
			}
		})
	}
}

// TestOtherProcessOfTheNameIsReported checks that a host doesn't raise its incarnation
// without end against another process that runs under its name.
func TestOtherProcessOfTheNameIsReported(t *testing.T) {
	n := smallFleet(t)
	a1 := n.hosts["a1"].state
	a1.TakeEvents()
	for range maxSuperseded + 1 {
		a1.HandleMembers(n.now, "a2", &message.Members{Members: []message.Member{{
			Host: "a1", Zone: "a", Incarnation: a1.Incarnation() + 1, Version: 1, State: message.MemberStateAlive,
		}}})
	}
	events := a1.TakeEvents()
	if !slices.Contains(events, Event{Kind: EventDuplicate, Host: "a1"}) || !slices.Contains(events, Event{Kind: EventSuperseded, Host: "a1"}) {
		t.Errorf("events %v", events)
	}
}

func TestHeartbeatIntervalGrowsWithTheZone(t *testing.T) {
	now := time.Unix(0, 0)
	s := New(now, Config{Host: "a0", Zone: "a", Incarnation: 1, Heartbeat: testHeartbeat, Suspect: testSuspect, Dead: testDead})
	for i := 1; i < 100; i++ {
		s.applyUpdate(now, message.Member{Host: fmt.Sprintf("a%d", i), Zone: "a", Incarnation: 1, Version: 1, State: message.MemberStateAlive})
	}
	perSecond := 99 / s.heartbeatInterval().Seconds()
	if limit := maxFullRatePeers / testHeartbeat.Seconds(); perSecond > limit+1 {
		t.Errorf("%.0f heartbeats a second to 99 peers, want at most %.0f", perSecond, limit)
	}
	if s.SuspectAfter() < minMissedHeartbeats*s.heartbeatInterval() {
		t.Error("peers become suspect before minMissedHeartbeats")
	}
}

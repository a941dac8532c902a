package member

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosafront/internal/message"
)

// cutOff cuts a host off from all others, or restores its links.
func (n *network) cutOff(host string, cut bool) {
	for _, other := range n.names() {
		n.cut[[2]string{host, other}], n.cut[[2]string{other, host}] = cut, cut
	}
}

func (n *network) wantContact(t *testing.T, host string, known, inTouch []string) {
	t.Helper()
	if c := n.hosts[host].state.Contact(); !slices.Equal(c.Known, known) || !slices.Equal(c.InTouch, inTouch) {
		t.Errorf("%s knows %v and is in touch with %v, want %v and %v", host, c.Known, c.InTouch, known, inTouch)
	}
}

// TestContactInACut checks that a host counts on one side of a cut only, and on both again
// once the links are restored.
func TestContactInACut(t *testing.T) {
	all := []string{"a1", "a2", "a3"}
	n := smallFleet(t)
	n.wantContact(t, "a1", all, all)
	n.cutOff("a1", true)
	n.advance(testSuspect)
	n.wantContact(t, "a1", all, []string{"a1"})
	n.wantContact(t, "a2", all, []string{"a2", "a3"})
	n.advance(time.Minute)
	n.wantContact(t, "a2", all, []string{"a2", "a3"})
	n.cutOff("a1", false)
	n.advance(15 * time.Second)
	for _, host := range all {
		n.wantContact(t, host, all, all)
	}
}

// TestContactIsLostBeforeATakeover guards against a host that is cut off and goes on with the
// whole of what others, which take over its pools, use a part of.
func TestContactIsLostBeforeATakeover(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := smallFleet(t)
		n.advance(time.Duration(rapid.IntRange(0, 20).Draw(rt, "steps")) * step)
		n.cutOff("a1", true)
		for range 40 {
			n.advance(step)
			a1, a2 := n.hosts["a1"].state, n.hosts["a2"].state
			if slices.Equal(a1.View().Zones["a"], []string{"a1"}) && slices.Contains(a2.Contact().InTouch, "a1") {
				rt.Fatal("a1 takes over while a2 counts it")
			}
			if slices.Equal(a2.View().Zones["a"], []string{"a2", "a3"}) && len(a1.Contact().InTouch) > 1 {
				rt.Fatal("a2 takes over while a1 counts others")
			}
		}
	})
}

// TestDeadHostsAreKnownAndLeavingOnesArent checks which silent hosts may run elsewhere.
func TestDeadHostsAreKnownAndLeavingOnesArent(t *testing.T) {
	n := smallFleet(t)
	n.hosts["a2"].state.Leave(n.now)
	n.advance(time.Second)
	n.hosts["a2"].down = true
	n.advance(testDead + testSuspect)
	n.wantContact(t, "a1", []string{"a1", "a3"}, []string{"a1", "a3"})
	n.hosts["a3"].down = true
	n.advance(testDead + testSuspect)
	n.wantContact(t, "a1", []string{"a1", "a3"}, []string{"a1"})
	n.advance(deadRetention)
	n.wantContact(t, "a1", []string{"a1"}, []string{"a1"})
}

// TestNewcomersInACut guards against a host that starts during a cut and takes a part of what
// the host on the other side, which doesn't know of it, divides without it.
func TestNewcomersInACut(t *testing.T) {
	n := smallFleet(t)
	n.cutOff("a1", true)
	n.advance(testDead + testSuspect)
	n.hosts["a4"] = &simHost{name: "a4"}
	n.startAt("a4", firstIncarnation+100)
	n.cutOff("a1", true)
	n.advance(5 * time.Second)
	want := []string{"a1", "a2", "a3"}
	n.wantContact(t, "a2", want, want[1:])
	n.wantContact(t, "a4", want, want[1:])
	n.advance(newcomerTime)
	n.wantContact(t, "a2", []string{"a1", "a2", "a3", "a4"}, []string{"a2", "a3", "a4"})
	n.wantContact(t, "a4", []string{"a1", "a2", "a3", "a4"}, []string{"a2", "a3", "a4"})
}

// TestFormerHostsAreForgotten checks that a host which started later counts a dead host as
// long as others do.
func TestFormerHostsAreForgotten(t *testing.T) {
	n := newNetwork(t, "a1")
	s := n.hosts["a1"].state
	s.applyUpdate(n.now, message.Member{Host: "a9", Zone: "a", Incarnation: 1, State: message.MemberStateDead})
	s.applyUpdate(n.now, message.Member{Host: "b9", Zone: "b", Incarnation: 1, State: message.MemberStateDead})
	n.advance(newcomerTime + time.Second)
	n.wantContact(t, "a1", []string{"a1", "a9"}, []string{"a1"})
	n.advance(deadRetention)
	n.wantContact(t, "a1", []string{"a1"}, []string{"a1"})
}

// TestFormerHostReturns guards against a host that comes back and still counts as lost.
func TestFormerHostReturns(t *testing.T) {
	n := newNetwork(t, "a1", "a2")
	s := n.hosts["a1"].state
	s.applyUpdate(n.now, message.Member{Host: "a9", Zone: "a", Incarnation: 1, State: message.MemberStateDead})
	n.hosts["a9"] = &simHost{name: "a9"}
	n.start("a9")
	n.advance(5 * time.Second)
	n.wantContact(t, "a1", []string{"a1", "a2", "a9"}, []string{"a1", "a2", "a9"})
	if len(s.formerHosts) > 0 || s.completeSince.IsZero() {
		t.Error("a9 still counts as lost")
	}
}

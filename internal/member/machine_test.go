package member

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosafront/internal/message"
	"mimosafront/internal/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, rapidtest.Config{Checks: 20})) }

const (
	testHeartbeat = 500 * time.Millisecond
	testSuspect   = 2 * time.Second
	testDead      = 5 * time.Second
	step          = 100 * time.Millisecond
)

// network is a fleet of States with a fake clock and messages that are lost,
// doubled, reordered and delayed.
type network struct {
	t        fataler
	draw     *rapid.T
	now      time.Time
	hosts    map[string]*simHost
	queue    []simFrame
	links    map[[2]string][2]int
	cut      map[[2]string]bool
	loss     int
	doubling int
	maxDelay int
}

type fataler interface {
	Fatalf(format string, args ...any)
}

type simHost struct {
	state       *State
	name        string
	incarnation int
	paused      bool
	down        bool
	versions    map[string]message.Member
}

type simFrame struct {
	from, to    string
	incarnation int
	due         time.Time
	frame       message.Frame
	// repeats is the heartbeat that the sender means by a Beat.
	repeats *message.Heartbeat
}

// oldHost speaks a protocol without Beats.
const oldHost = "c3"

func newNetwork(t fataler, names ...string) *network {
	n := &network{
		t: t, now: time.Unix(1_700_000_000, 0), hosts: map[string]*simHost{},
		links: map[[2]string][2]int{}, cut: map[[2]string]bool{},
	}
	for _, name := range names {
		n.hosts[name] = &simHost{name: name}
		n.start(name)
	}
	return n
}

func (n *network) names() []string { return slices.Sorted(maps.Keys(n.hosts)) }

func (n *network) start(name string) {
	h := n.hosts[name]
	h.incarnation++
	h.down, h.paused = false, false
	h.versions = map[string]message.Member{}
	h.state = New(n.now, Config{
		Host: name, Zone: name[:1], Address: "192.0.2.1:1", Incarnation: h.incarnation,
		Heartbeat: testHeartbeat, Suspect: testSuspect, Dead: testDead, Expects: true,
	})
	var list []PublishedHost
	for _, other := range n.names() {
		list = append(list, PublishedHost{Name: other, Zone: other[:1], Address: "192.0.2.1:1", Entry: true})
	}
	h.state.Published(n.now, 1, list)
}

func (n *network) up(name string) bool { return !n.hosts[name].down && !n.hosts[name].paused }

// advance moves the clock on, delivers what is due and ticks all hosts.
func (n *network) advance(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(step)
		n.deliver()
		for _, name := range n.names() {
			if n.up(name) {
				n.hosts[name].state.Tick(n.now)
			}
		}
		n.collect()
		n.check()
	}
}

func (n *network) collect() {
	for _, name := range n.names() {
		h := n.hosts[name]
		if !n.up(name) {
			continue
		}
		for _, o := range h.state.TakeOutput() {
			n.transmit(h, o)
		}
		h.state.TakeEvents()
	}
}

func (n *network) transmit(h *simHost, o Output) {
	copies := 1
	if n.chance(n.loss) {
		copies = 0
	}
	if n.chance(n.doubling) {
		copies++
	}
	for range copies {
		delay := time.Duration(0)
		if n.maxDelay > 0 {
			delay = time.Duration(rapid.IntRange(0, n.maxDelay).Draw(n.draw, "delay")) * step
		}
		n.queue = append(n.queue, simFrame{
			from: h.name, to: o.To, incarnation: h.incarnation, due: n.now.Add(delay), frame: o.Frame, repeats: h.state.told,
		})
	}
}

func (n *network) chance(percent int) bool {
	return percent > 0 && rapid.IntRange(0, 99).Draw(n.draw, "chance") < percent
}

func (n *network) deliver() {
	var later []simFrame
	for _, f := range n.queue {
		to := n.hosts[f.to]
		switch {
		case n.cut[[2]string{f.from, f.to}] || to == nil || to.down:
		case f.due.After(n.now) || to.paused:
			later = append(later, f)
		default:
			n.link(f)
			n.hand(to, f)
		}
	}
	n.queue = later
}

// link tells both ends of a pair of each other when one of them restarted.
func (n *network) link(f simFrame) {
	pair := [2]string{min(f.from, f.to), max(f.from, f.to)}
	now := [2]int{n.hosts[pair[0]].incarnation, n.hosts[pair[1]].incarnation}
	if n.links[pair] == now || n.cut[[2]string{f.to, f.from}] || !n.up(f.from) {
		return
	}
	n.links[pair] = now
	for _, name := range pair {
		other := n.hosts[pair[0]]
		if name == pair[0] {
			other = n.hosts[pair[1]]
		}
		protocol := message.Protocol
		if slices.Contains(pair[:], oldHost) {
			protocol = message.MinBeatProtocol - 1
		}
		n.hosts[name].state.LinkUp(n.now, &message.Hello{
			Host: other.name, Zone: other.name[:1], Address: "192.0.2.1:1", Incarnation: other.incarnation, Protocol: protocol,
		})
	}
}

func (n *network) hand(to *simHost, f simFrame) {
	switch {
	case f.frame.Heartbeat != nil:
		to.state.HandleHeartbeat(n.now, f.from, f.frame.Heartbeat)
	case f.frame.Beat != nil:
		n.beat(to, f)
	case f.frame.Members != nil:
		to.state.HandleMembers(n.now, f.from, f.frame.Members)
	}
}

// beat hands over a Beat, which must repeat the heartbeat that its sender meant.
func (n *network) beat(to *simHost, f simFrame) {
	if to.name == oldHost {
		n.t.Fatalf("%s sent a Beat to %s, which doesn't understand it", f.from, to.name)
	}
	h := to.state.HandleBeat(n.now, f.from, f.frame.Beat)
	if h == nil {
		return
	}
	if !sameContent(h, f.repeats) || h.Incarnation != f.incarnation {
		n.t.Fatalf("%s takes %+v for the heartbeat %+v of %s", to.name, h, f.repeats, f.from)
	}
	to.state.HandleHeartbeat(n.now, f.from, h)
}

// check tests what must hold at every moment.
func (n *network) check() {
	for _, name := range n.names() {
		if !n.up(name) {
			continue
		}
		h := n.hosts[name]
		for _, fact := range h.state.facts() {
			old, known := h.versions[fact.Host]
			if known && newer(old, fact) {
				n.t.Fatalf("%s went back from %+v to %+v", name, old, fact)
			}
			h.versions[fact.Host] = fact
		}
		view := h.state.View()
		if !h.state.Joined() && slices.Contains(view.Zones[name[:1]], name) {
			n.t.Fatalf("%s coordinates before it joined", name)
		}
	}
}

// settle heals everything, lets all hosts run for a while and tests that they
// agree.
func (n *network) settle() {
	n.cut = map[[2]string]bool{}
	n.loss, n.doubling, n.maxDelay = 0, 0, 0
	for _, name := range n.names() {
		n.hosts[name].paused = false
		if n.hosts[name].down {
			n.start(name)
		}
	}
	n.advance(40 * time.Second)
	want := map[string][]string{}
	for _, name := range n.names() {
		if n.hosts[name].state.self.State != message.MemberStateLeaving {
			want[name[:1]] = append(want[name[:1]], name)
		}
	}
	for _, name := range n.names() {
		h := n.hosts[name]
		for zone, hosts := range want {
			if got := h.state.View().Zones[zone]; !slices.Equal(got, hosts) {
				n.t.Fatalf("%s sees %v in zone %s, want %v\n%s", name, got, zone, hosts, n.dump())
			}
		}
	}
}

func (n *network) dump() string {
	text := ""
	for _, name := range n.names() {
		text += fmt.Sprintf("%s: %+v\n", name, n.hosts[name].state.Members(n.now))
	}
	return text
}

func TestMembershipConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t, "a1", "a2", "a3", "b1", "b2", "c1", "c2", "c3")
		n.draw = t
		n.loss = rapid.IntRange(0, 30).Draw(t, "loss")
		n.doubling = rapid.IntRange(0, 20).Draw(t, "doubling")
		n.maxDelay = rapid.IntRange(0, 8).Draw(t, "max delay")
		pick := rapid.SampledFrom(n.names())
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				n.draw = t
				n.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "steps")) * step)
			},
			"kill":    func(t *rapid.T) { n.hosts[pick.Draw(t, "host")].down = true },
			"restart": func(t *rapid.T) { n.draw = t; n.start(pick.Draw(t, "host")) },
			"pause":   func(t *rapid.T) { n.hosts[pick.Draw(t, "host")].paused = true },
			"wake":    func(t *rapid.T) { n.hosts[pick.Draw(t, "host")].paused = false },
			"leave": func(t *rapid.T) {
				if name := pick.Draw(t, "host"); n.up(name) && name == "a3" {
					n.hosts[name].state.Leave(n.now)
				}
			},
			"cut one way": func(t *rapid.T) { n.cut[[2]string{pick.Draw(t, "from"), pick.Draw(t, "to")}] = true },
			"cut zone": func(t *rapid.T) {
				zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
				for _, x := range n.names() {
					for _, y := range n.names() {
						if (x[:1] == zone) != (y[:1] == zone) {
							n.cut[[2]string{x, y}] = true
						}
					}
				}
			},
			"heal": func(*rapid.T) { n.cut = map[[2]string]bool{} },
		})
		n.draw = t
		n.settle()
	})
}

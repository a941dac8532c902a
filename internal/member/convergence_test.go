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

// network simulates a fleet of States with a fake clock, and frames that are
// lost, duplicated, reordered and delayed. links holds the starts of two hosts
// that last opened a link, cut the pairs (from, to) whose frames are dropped.
// loss and duplication are percentages; maxDelay is in steps.
type network struct {
	t           fataler
	draw        *rapid.T
	now         time.Time
	hosts       map[string]*simHost
	queue       []simFrame
	links       map[[2]string][2]int
	cut         map[[2]string]bool
	loss        int
	duplication int
	maxDelay    int
}

type fataler interface {
	Fatalf(format string, args ...any)
}

// simHost is one simulated host. records holds the newest record of each member that
// the host had at the last check.
type simHost struct {
	state       *State
	name        string
	incarnation int
	// starts counts the starts of the host.
	starts  int
	paused  bool
	down    bool
	records map[string]message.Member
}

type simFrame struct {
	from, to string
	due      time.Time
	frame    message.Frame
	// confirms is the full heartbeat that the sender confirms if the frame is a
	// Beat.
	confirms *message.Heartbeat
}

// firstIncarnation is below the incarnations of hosts that start by a true clock.
const firstIncarnation = 1_000_000

// oldProtocolHost speaks a protocol version without Beats.
const oldProtocolHost = "c3"

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

// start starts a host, by a clock that didn't go back.
func (n *network) start(name string) {
	next := max(n.hosts[name].incarnation, firstIncarnation) + 1
	if state := n.hosts[name].state; state != nil {
		next = max(next, state.Incarnation()+1)
	}
	n.startAt(name, next)
}

// startBefore starts a host by a clock that was set back behind all earlier starts.
func (n *network) startBefore(name string) { n.startAt(name, firstIncarnation-n.hosts[name].starts) }

// startAt starts a host with an incarnation.
func (n *network) startAt(name string, incarnation int) {
	h := n.hosts[name]
	h.incarnation = incarnation
	h.starts++
	h.down, h.paused = false, false
	h.records = map[string]message.Member{}
	h.state = New(n.now, Config{
		Host: name, Zone: name[:1], Address: "192.0.2.1:1", Incarnation: h.incarnation,
		Heartbeat: testHeartbeat, Suspect: testSuspect, Dead: testDead, ExpectsPeers: true,
	})
	var list []PublishedHost
	for _, other := range n.names() {
		list = append(list, PublishedHost{Name: other, Zone: other[:1], Address: "192.0.2.1:1", Entry: true})
	}
	h.state.SetHosts(n.now, 1, list)
}

func (n *network) up(name string) bool { return !n.hosts[name].down && !n.hosts[name].paused }

// advance moves the clock forward, delivers due frames and ticks all hosts.
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
		n.checkInvariants()
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
	if n.chance(n.duplication) {
		copies++
	}
	for range copies {
		delay := time.Duration(0)
		if n.maxDelay > 0 {
			delay = time.Duration(rapid.IntRange(0, n.maxDelay).Draw(n.draw, "delay")) * step
		}
		n.queue = append(n.queue, simFrame{
			from: h.name, to: o.To, due: n.now.Add(delay), frame: o.Frame, confirms: h.state.lastFullHeartbeat,
		})
	}
}

func (n *network) chance(percent int) bool {
	return percent > 0 && rapid.IntRange(0, 99).Draw(n.draw, "chance") < percent
}

func (n *network) deliver() {
	var undelivered []simFrame
	for _, f := range n.queue {
		to := n.hosts[f.to]
		switch {
		case n.cut[[2]string{f.from, f.to}] || to == nil || to.down:
		case f.due.After(n.now) || to.paused:
			undelivered = append(undelivered, f)
		default:
			n.link(f)
			n.dispatch(to, f)
		}
	}
	n.queue = undelivered
}

// link opens the link that a frame uses, and opens it again after one of the two
// hosts restarted.
func (n *network) link(f simFrame) {
	pair := [2]string{min(f.from, f.to), max(f.from, f.to)}
	starts := [2]int{n.hosts[pair[0]].starts, n.hosts[pair[1]].starts}
	if n.links[pair] == starts || n.cut[[2]string{f.to, f.from}] || !n.up(f.from) {
		return
	}
	n.links[pair] = starts
	for _, name := range pair {
		other := n.hosts[pair[0]]
		if name == pair[0] {
			other = n.hosts[pair[1]]
		}
		protocol := message.Protocol
		if slices.Contains(pair[:], oldProtocolHost) {
			protocol = message.MinBeatProtocol - 1
		}
		n.hosts[name].state.LinkUp(n.now, &message.Hello{
			Host: other.name, Zone: other.name[:1], Address: "192.0.2.1:1", Incarnation: other.incarnation, Protocol: protocol,
		})
	}
}

func (n *network) dispatch(to *simHost, f simFrame) {
	switch {
	case f.frame.Heartbeat != nil:
		to.state.HandleHeartbeat(n.now, f.from, f.frame.Heartbeat)
	case f.frame.Beat != nil:
		n.dispatchBeat(to, f)
	case f.frame.Members != nil:
		to.state.HandleMembers(n.now, f.from, f.frame.Members)
	}
}

// dispatchBeat delivers a Beat and checks that the receiver resolves it to the
// heartbeat that its sender confirmed.
func (n *network) dispatchBeat(to *simHost, f simFrame) {
	if to.name == oldProtocolHost {
		n.t.Fatalf("%s sent a Beat to %s, whose protocol has none", f.from, to.name)
	}
	h := to.state.HandleBeat(n.now, f.from, f.frame.Beat)
	if h == nil {
		return
	}
	if !sameContent(h, f.confirms) || h.Incarnation != f.confirms.Incarnation {
		n.t.Fatalf("%s resolved a Beat to %+v, want %+v of %s", to.name, h, f.confirms, f.from)
	}
	to.state.HandleHeartbeat(n.now, f.from, h)
}

// checkInvariants checks the invariants that hold at every step.
func (n *network) checkInvariants() {
	for _, name := range n.names() {
		if !n.up(name) {
			continue
		}
		h := n.hosts[name]
		for _, record := range h.state.memberRecords() {
			old, known := h.records[record.Host]
			if known && newer(old, record) {
				n.t.Fatalf("%s replaced record %+v by the older %+v", name, old, record)
			}
			h.records[record.Host] = record
		}
		view := h.state.View()
		if !h.state.Joined() && slices.Contains(view.Zones[name[:1]], name) {
			n.t.Fatalf("%s coordinates pools before it joined", name)
		}
	}
}

// settle heals all faults, runs all hosts for 40 s and checks that their views
// agree.
func (n *network) settle() {
	n.cut = map[[2]string]bool{}
	n.loss, n.duplication, n.maxDelay = 0, 0, 0
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
				n.t.Fatalf("%s has hosts %v in zone %s, want %v\n%s", name, got, zone, hosts, n.dump())
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
		n.duplication = rapid.IntRange(0, 20).Draw(t, "duplication")
		n.maxDelay = rapid.IntRange(0, 8).Draw(t, "max delay")
		pick := rapid.SampledFrom(n.names())
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				n.draw = t
				n.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "steps")) * step)
			},
			"kill":                    func(t *rapid.T) { n.hosts[pick.Draw(t, "host")].down = true },
			"restart":                 func(t *rapid.T) { n.draw = t; n.start(pick.Draw(t, "host")) },
			"restart, clock set back": func(t *rapid.T) { n.draw = t; n.startBefore(pick.Draw(t, "host")) },
			"pause":                   func(t *rapid.T) { n.hosts[pick.Draw(t, "host")].paused = true },
			"wake":                    func(t *rapid.T) { n.hosts[pick.Draw(t, "host")].paused = false },
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

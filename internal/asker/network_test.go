package asker

import (
	"time"

	"pgregory.net/rapid"

	"mimosafront/internal/message"
)

// staticTopology is a Topology that maps each pool to its coordinator. Each front has
// its own, which may be out of date.
type staticTopology map[message.Pool]string

func (t staticTopology) Pools(string) []message.Pool { return []message.Pool{poolA, poolB} }

func (t staticTopology) Coordinator(pool message.Pool) (string, bool) {
	host, ok := t[pool]
	return host, ok
}

func (t staticTopology) Closed(message.Pool) bool { return false }

// packet is a frame in transit.
type packet struct {
	from, to  string
	deliverAt time.Time
	frame     message.Frame
}

func (m *machine) transmit(from, to string, frame message.Frame) {
	if m.oldFront {
		frame = stripNewFields(from, to, frame)
	}
	copies := 1
	if m.loss > 0 {
		switch draw := rapid.IntRange(0, 99).Draw(m.t, "fate"); {
		case draw < m.loss:
			copies = 0
		case draw >= 90:
			copies = 2
		}
	}
	for range copies {
		delay := 1
		if m.maxDelay > 0 {
			delay += rapid.IntRange(0, m.maxDelay).Draw(m.t, "delay")
		}
		m.network = append(m.network, packet{from: from, to: to, deliverAt: m.now.Add(time.Duration(delay) * machineStep), frame: frame})
	}
}

// stripNewFields removes the fields that an older front f2 neither sends nor
// understands.
func stripNewFields(from, to string, frame message.Frame) message.Frame {
	if to == "f2" && frame.Redirect != nil {
		r := *frame.Redirect
		r.Kept = false
		frame.Redirect = &r
	}
	if from == "f2" && frame.Ask != nil {
		a := *frame.Ask
		a.Moves = 0
		frame.Ask = &a
	}
	return frame
}

func (m *machine) deliver() {
	var later []packet
	for _, p := range m.network {
		front := m.fronts[p.to]
		switch {
		case p.deliverAt.After(m.now) || front != nil && front.paused:
			later = append(later, p)
		case front != nil:
			if id := front.state.Handle(m.now, p.from, &p.frame); id != "" {
				m.takeOutcomes(front) // the grant may have arrived in the same step
				m.revoke(front, id)
			}
		case m.coordinators[p.to] != nil:
			m.coordinators[p.to].Handle(m.now, p.from, &p.frame)
		}
	}
	m.network = later
}

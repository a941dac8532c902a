package asker

import (
	"time"

	"pgregory.net/rapid"

	"mimosafront/internal/message"
)

// staticTopology is a Topology that maps each pool to its coordinator, as one front
// sees it.
type staticTopology map[message.Pool]string

func (o staticTopology) Pools(string) []message.Pool { return []message.Pool{poolA, poolB} }

func (o staticTopology) Coordinator(pool message.Pool) (string, bool) {
	host, ok := o[pool]
	return host, ok
}

// packet is a frame in transit.
type packet struct {
	from, to string
	due      time.Time
	frame    message.Frame
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
		m.queue = append(m.queue, packet{from: from, to: to, due: m.now.Add(time.Duration(delay) * machineStep), frame: frame})
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
	for _, f := range m.queue {
		front := m.fronts[f.to]
		switch {
		case f.due.After(m.now) || front != nil && front.paused:
			later = append(later, f)
		case front != nil:
			if id := front.state.Handle(m.now, f.from, &f.frame); id != "" {
				m.takeOutcomes(front) // the grant may have arrived in the same step
				m.revoke(front, id)
			}
		case m.coordinators[f.to] != nil:
			m.coordinators[f.to].Handle(m.now, f.from, &f.frame)
		}
	}
	m.queue = later
}

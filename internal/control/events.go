package control

import (
	"errors"
	"time"

	"mimosafront/internal/member"
	"mimosafront/internal/message"
	"mimosafront/internal/sched"
)

// errStopped is returned to callers of a loop that has ended.
var errStopped = errors.New("the control loop has stopped")

// event is a typed message to the control goroutine, which calls apply.
type event interface {
	apply(l *Loop, now time.Time)
}

// policyChanged reports that the store holds another policy.
type policyChanged struct{}

func (policyChanged) apply(l *Loop, now time.Time) { l.applyPolicy(now) }

// loadRead reports the load of a backend server.
type loadRead struct {
	server string
	report sched.LoadReport
}

func (e loadRead) apply(l *Loop, now time.Time) { l.coordinator.Report(now, e.server, e.report) }

// frameReceived carries a frame from another entry host.
type frameReceived struct {
	from  string
	frame *message.Frame
}

func (e frameReceived) apply(l *Loop, now time.Time) {
	l.frames.byKind[e.frame.Kind()]++
	l.route(now, e.from, e.frame)
}

// frameCounts counts the received frames that were handled since a time.
type frameCounts struct {
	since  time.Time
	byKind map[message.Kind]int
}

func (c *frameCounts) reset(now time.Time) {
	c.since = now
	clear(c.byKind)
}

// mostFrequent returns the kind with the most frames and their number.
func (c *frameCounts) mostFrequent() (most message.Kind, count int) {
	for kind, n := range c.byKind {
		if n > count || n == count && kind < most {
			most, count = kind, n
		}
	}
	return most, count
}

// linkUp reports that a link to a host opened.
type linkUp struct{ hello message.Hello }

func (e linkUp) apply(l *Loop, now time.Time) {
	l.member.LinkUp(now, &e.hello)
	l.asker.LinkRestored(now, e.hello.Host)
	l.reports.setDue(e.hello.Host)
	l.sendSharedOnLinkUp(now, e.hello.Host)
}

// linkFailed reports that a host can't be reached; refused is set if its address
// refused the connection.
type linkFailed struct {
	host    string
	refused bool
}

func (e linkFailed) apply(l *Loop, now time.Time) { l.member.LinkFailed(now, e.host, e.refused) }

// hostsPublished carries a new host list of the platform.
type hostsPublished struct {
	version int
	hosts   []member.PublishedHost
}

func (e hostsPublished) apply(l *Loop, now time.Time) { l.member.SetHosts(now, e.version, e.hosts) }

// UpdateHosts passes the host list that the platform publishes to the membership state.
// The list may be stale.
func (l *Loop) UpdateHosts(version int, hosts []member.PublishedHost) {
	_ = l.postUntilStopped(hostsPublished{version: version, hosts: hosts})
}

// LinkUp implements peer.Handler.
func (l *Loop) LinkUp(h message.Hello) { _ = l.postUntilStopped(linkUp{hello: h}) }

// LinkFailed implements peer.Handler.
func (l *Loop) LinkFailed(host string, refused bool) {
	_ = l.postUntilStopped(linkFailed{host: host, refused: refused})
}

// Frame implements peer.Handler. It blocks while the inbox is full. Telemetry is dropped
// before that, while the inbox holds more than maxTelemetryInboxLength events.
func (l *Loop) Frame(from string, f *message.Frame) {
	switch {
	case f.OperationCall != nil:
		l.calls.handleCall(from, *f.OperationCall)
	case f.OperationReply != nil:
		l.calls.handleReply(from, *f.OperationReply)
	case f.PolicyGet != nil, f.PolicyData != nil:
		l.policies.enqueueFrame(from, f)
	case f.KeyHandover != nil:
		l.enqueueHandover(*f.KeyHandover)
	case f.KeyHandoverAck != nil:
		l.handleHandoverAck(from, *f.KeyHandoverAck)
	case f.Kind().Telemetry() && len(l.inbox) > maxTelemetryInboxLength:
		l.droppedTelemetry.Inc(1)
	default:
		_ = l.postUntilStopped(frameReceived{from: from, frame: f})
	}
}

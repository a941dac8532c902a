package control

import (
	"maps"
	"slices"
	"time"

	"mimosafront/internal/announce"
	"mimosafront/internal/discovery"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

// coldStatement is what a server stated at a time about how long it stays cold.
type coldStatement struct {
	entry    message.ColdServer
	statedAt time.Time
}

// registeredCold reports that the platform lists servers as cold, or as warm again.
type registeredCold struct{ servers []discovery.ColdServer }

func (e registeredCold) apply(l *Loop, now time.Time) {
	p := l.config.Policies.Current()
	var entries []message.ColdServer
	for _, s := range e.servers {
		if coldIsBounded(p, s.Server) {
			entries = append(entries, announce.ColdEntry(now, s.Server, s.Until))
		}
	}
	for _, entry := range l.mergeCold(now, sourceStore, entries) {
		l.coldToShare[entry.Server] = pendingShare[coldStatement]{
			entry: coldStatement{entry: entry, statedAt: now}, dueAt: now.Add(l.shareDelay()),
		}
	}
	l.applyLimits(now)
}

// coldIsBounded reports whether the policy bounds the requests that a server gets while it
// is cold.
func coldIsBounded(p *policy.Policy, s policy.Server) bool {
	return p != nil && slices.ContainsFunc(s.Targets(), func(target string) bool { return p.ColdRequestsPerS(target) > 0 })
}

// RegisteredCold records servers that the platform lists as cold, or as warm again, and
// shares them with the hosts that the platform doesn't reach.
func (l *Loop) RegisteredCold(servers []discovery.ColdServer) {
	_ = l.postUntilStopped(registeredCold{servers: servers})
}

// mergeCold records statements from a source and returns those that are news. This host
// needs not share what another host of its zone has, unless it is a relay.
func (l *Loop) mergeCold(now time.Time, source string, entries []message.ColdServer) []message.ColdServer {
	if source != sourceStore && l.member.Zone(source) == l.config.Settings.Node.Zone && !l.member.IsRelay() {
		for _, entry := range entries {
			delete(l.coldToShare, entry.Server)
		}
	}
	news := l.config.Announcements.MergeCold(now, entries)
	for _, entry := range news {
		if entry.RemainingMs > 0 {
			l.config.Logger.Info("server cold", "server", entry.Server, "incarnation", entry.Incarnation,
				"remaining_ms", entry.RemainingMs-entry.AgeMs, "source", source)
		}
	}
	return news
}

// logWarm logs the servers that were cold and are no more.
func (l *Loop) logWarm(cold map[string]time.Time) {
	for _, name := range slices.Sorted(maps.Keys(l.appliedCold)) {
		if _, ok := cold[name]; !ok {
			l.config.Logger.Info("server warm", "server", name)
		}
	}
}

// coldFrame returns the frame that shares statements.
func coldFrame(now time.Time, statements []coldStatement) *message.Frame {
	entries := make([]message.ColdServer, len(statements))
	for i, s := range statements {
		entries[i] = s.entry
		entries[i].AgeMs += int(now.Sub(s.statedAt).Milliseconds())
	}
	return limitsFrame(nil, entries)
}

package control

import (
	"maps"
	"slices"
	"time"

	"mimosafront/internal/announce"
	"mimosafront/internal/message"
	"mimosafront/internal/policy"
)

// serverLimited reports that a server has stated to this host how many requests per
// second it takes.
type serverLimited struct {
	server policy.Server
	perS   float64
}

func (e serverLimited) apply(l *Loop, now time.Time) {
	f := limitsFrame([]message.ServerLimit{announce.LimitEntry(e.server, e.perS)}, nil)
	l.gossip(f, true)
	l.sendToCoordinators(now, e.server, f)
	l.applyLimits(now)
}

// ServerLimited shares with the other hosts how many requests per second a server takes,
// or with 0 that it states no limit any more. It is in the table of announcements already.
func (l *Loop) ServerLimited(server policy.Server, perS float64) {
	_ = l.postUntilStopped(serverLimited{server: server, perS: perS})
}

// sendToCoordinators sends a frame to the hosts of other zones that grant requests to a
// server. Those of the own zone get it as all hosts there do.
func (l *Loop) sendToCoordinators(now time.Time, server policy.Server, f *message.Frame) {
	if server.Zone == l.config.Settings.Node.Zone || l.view == nil {
		return
	}
	for _, target := range server.Targets() {
		if host, ok := l.view.Coordinator(message.Pool{Zone: server.Zone, Target: target}); ok {
			l.send(now, host, f)
		}
	}
}

// handleServerLimits merges what another host shares and relays what is new.
func (l *Loop) handleServerLimits(now time.Time, from string, m *message.ServerLimits) {
	limits := l.config.Announcements.MergeLimits(now, m.Entries)
	cold := l.mergeCold(now, from, m.Cold)
	if len(limits)+len(cold) == 0 {
		return
	}
	l.relayFrame(from, limitsFrame(limits, cold))
	l.applyLimits(now)
}

// applyLimits passes the limits to the pools that this host coordinates, if they have
// changed. It is also called at intervals, since limits expire.
func (l *Loop) applyLimits(now time.Time) {
	p := l.config.Policies.Current()
	if p == nil {
		return
	}
	limits, cold := l.config.Announcements.Limits(now, p.Servers), l.config.Announcements.Cold(now, p.Servers)
	if maps.Equal(limits, l.appliedLimits) && maps.Equal(cold, l.appliedCold) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(p.Servers)) {
		if limits[name] != l.appliedLimits[name] {
			l.config.Logger.Info("server limited", "server", name, "requests_per_s", limits[name])
		}
	}
	l.logWarm(cold)
	l.coldServers.Update(float64(len(cold)))
	l.appliedLimits, l.appliedCold = limits, cold
	l.coordinator.SetServerLimits(now, limits, cold)
}

// sendServerLimits sends a host the limits that servers have stated, and which are cold.
func (l *Loop) sendServerLimits(now time.Time, host string) {
	limits, cold := l.config.Announcements.SharedLimits(now), l.config.Announcements.SharedCold(now)
	if len(limits)+len(cold) > 0 {
		l.send(now, host, limitsFrame(limits, cold))
	}
}

func limitsFrame(limits []message.ServerLimit, cold []message.ColdServer) *message.Frame {
	return &message.Frame{ServerLimits: &message.ServerLimits{Entries: limits, Cold: cold}}
}

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
	f := limitsFrame([]message.ServerLimit{announce.LimitEntry(e.server, e.perS)})
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
func (l *Loop) handleServerLimits(now time.Time, from string, entries []message.ServerLimit) {
	news := l.config.Announcements.MergeLimits(now, entries)
	if len(news) == 0 {
		return
	}
	l.relayFrame(from, limitsFrame(news))
	l.applyLimits(now)
}

// applyLimits passes the limits to the pools that this host coordinates, if they have
// changed. It is also called at intervals, since limits expire.
func (l *Loop) applyLimits(now time.Time) {
	p := l.config.Policies.Current()
	if p == nil {
		return
	}
	limits := l.config.Announcements.Limits(now, p.Servers)
	if maps.Equal(limits, l.appliedLimits) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(p.Servers)) {
		if limits[name] != l.appliedLimits[name] {
			l.config.Logger.Info("server limited", "server", name, "requests_per_s", limits[name])
		}
	}
	l.appliedLimits = limits
	l.coordinator.SetServerLimits(now, limits)
}

// sendServerLimits sends a host the limits that servers have stated.
func (l *Loop) sendServerLimits(now time.Time, host string) {
	if entries := l.config.Announcements.SharedLimits(now); len(entries) > 0 {
		l.send(now, host, limitsFrame(entries))
	}
}

func limitsFrame(entries []message.ServerLimit) *message.Frame {
	return &message.Frame{ServerLimits: &message.ServerLimits{Entries: entries}}
}

package control

import (
	"time"

	"mimosafront/internal/discovery"
	"mimosafront/internal/message"
)

// minSharingHosts is the number of entry hosts in a zone from which on the relays read
// the platform's store for the others. In a smaller zone it would spare few reads.
const minSharingHosts = 6

// maxStoreAnswerAgeMs bounds the age that a report of another host may state, in
// milliseconds. It is far above the age at which reports no longer count.
const maxStoreAnswerAgeMs = 60_000

// storeRole returns this host's part in reading the platform's store.
func (l *Loop) storeRole(now time.Time) discovery.Role {
	switch {
	case len(l.member.ZoneHosts(now)) < minSharingHosts:
		return discovery.RoleAlone
	case l.member.IsRelay():
		return discovery.RoleReader
	default:
		return discovery.RoleFollower
	}
}

func (l *Loop) updateStoreRole(now time.Time) {
	if role := l.storeRole(now); l.config.StoreReports.SetRole(role) {
		l.config.Logger.Info("part in reading the store", "role", role)
	}
}

// storeRead reports that this host's read of the store was answered.
type storeRead struct{ progress discovery.Progress }

func (e storeRead) apply(l *Loop, now time.Time) {
	l.storeProgress = e.progress
	l.storeEpoch.Update(float64(e.progress.Epoch))
	if l.config.StoreReports.Role() != discovery.RoleReader {
		return
	}
	f := &message.Frame{StoreProgress: &message.StoreProgress{
		Epoch: e.progress.Epoch, Changed: e.progress.Changed, Read: e.progress.Read,
		AgeMs: int(now.Sub(e.progress.AnsweredAt).Milliseconds()),
	}}
	l.sendToZone(now, f)
}

// StoreRead shares with the zone how far this host has read the store, if other hosts
// rely on it. Later reports supersede one that is lost.
func (l *Loop) StoreRead(p discovery.Progress) { l.tryPost(storeRead{progress: p}) }

// handleStoreProgress records how far another host of the zone has read the store. It
// ignores a report with values that no reader can mean.
func (l *Loop) handleStoreProgress(now time.Time, from string, p *message.StoreProgress) {
	if p.AgeMs < 0 || p.AgeMs > maxStoreAnswerAgeMs || p.Changed > p.Read || p.Epoch < 0 || l.member.Zone(from) != l.config.Settings.Node.Zone {
		return
	}
	l.config.StoreReports.Receive(from, discovery.Progress{
		Epoch: p.Epoch, Changed: p.Changed, Read: p.Read, AnsweredAt: now.Add(-time.Duration(p.AgeMs) * time.Millisecond),
	})
}

package front

import (
	"mimosafront/internal/backend"
	"mimosafront/internal/policy"
)

// recordAnnouncement logs what a backend server says about itself in an answer.
func (f *Front) recordAnnouncement(server policy.Server, a backend.Announcement) {
	f.config.Logger.Decision(now(), "server announcement", "server", server.Name, "address", server.Address,
		"leaving", a.Leaving, "retry_after_ms", a.RetryAfter.Milliseconds())
}

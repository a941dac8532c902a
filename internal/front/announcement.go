package front

import (
	"errors"
	"slices"

	"mimosafront/internal/apierror"
	"mimosafront/internal/backend"
	"mimosafront/internal/grant"
	"mimosafront/internal/policy"
	"mimosafront/internal/verdict"
)

// errServerWithdrawn is the cause of a failed dispatch to a server that takes no more
// requests from this host.
var errServerWithdrawn = errors.New("the server takes no more requests from this host")

// recordAnnouncement records what a backend server says about itself in an answer.
func (f *Front) recordAnnouncement(server policy.Server, a backend.Announcement) {
	if a.Leaving || a.RetryAfter > 0 || a.LimitIllegible {
		f.config.Logger.Decision(now(), "server announcement", "server", server.Name, "address", server.Address,
			"leaving", a.Leaving, "retry_after_ms", a.RetryAfter.Milliseconds(), "limit_illegible", a.LimitIllegible)
	}
	if a.Leaving && f.config.Announcements.MarkLeaving(now(), server) && f.config.OnLeaving != nil {
		f.config.OnLeaving(server)
	}
	if a.RetryAfter > 0 {
		f.config.Announcements.Pause(server, now().Add(a.RetryAfter))
	}
	if !a.LimitIllegible && f.config.Announcements.StateLimit(now(), server, a.RequestsPerS) {
		f.config.Logger.Decision(now(), "limit stated", "server", server.Name, "requests_per_s", a.RequestsPerS)
		if f.config.OnLimited != nil {
			f.config.OnLimited(server, a.RequestsPerS)
		}
	}
}

// excludePaused adds to a request for a grant the servers that want no requests from
// this host now: its coordinator doesn't know of them.
func (f *Front) excludePaused(r grant.Request) grant.Request {
	if paused := f.config.Announcements.Paused(now()); len(paused) > 0 {
		r.Excluded = append(slices.Clone(r.Excluded), paused...)
	}
	return r
}

// isWithdrawn reports whether a server takes no more requests from this host. It may
// have announced that, its registration may have ended, or its availability zone may have
// been evacuated since the grant.
func (f *Front) isWithdrawn(server policy.Server) bool {
	if f.config.Evacuations.Has(server.Zone) || !f.config.Announcements.Accepts(now(), server) {
		return true
	}
	if f.config.Headers == nil {
		return false
	}
	registered, ok := f.config.Policy().Servers[server.Name]
	return !ok || registered.Incarnation > server.Incarnation
}

// checkWithdrawn returns an error if the server takes no more requests from this host.
// The request then excludes the server, and the error has the cause errServerWithdrawn;
// it has another cause if the server was excluded already, so that the scheduler can't
// offer it over and over.
func (f *Front) checkWithdrawn(q *request, server policy.Server) *apierror.Error {
	if !f.isWithdrawn(server) {
		return nil
	}
	err := apierror.New(apierror.CodeNoServer, verdict.NotRun, "backend server %s takes no more requests", server.Name).WithRetry(shortRetryDelay)
	if slices.Contains(q.excluded, server.Name) {
		return err
	}
	q.excluded = append(q.excluded, server.Name)
	return err.WithCause(errServerWithdrawn)
}

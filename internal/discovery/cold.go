package discovery

import (
	"time"

	"mimosafront/internal/policy"
)

// ColdUnknown is the cold time of a server that doesn't state one.
const ColdUnknown time.Duration = -1

// ColdServer is a server that turned cold, or is warm again.
type ColdServer struct {
	Server policy.Server
	// Until is the end of its cold time; not after the time of the call if it is warm.
	Until time.Time
}

// recordCold records how long a registered server stays cold and reports whether that is
// news. Each renewal of a registration says it again: a time that only runs down is none.
// A renewal may have been written up to a heartbeat before it is read.
func (d *Directory) recordCold(now time.Time, server policy.Server, cold time.Duration) bool {
	if cold == ColdUnknown {
		return false
	}
	known, until := d.coldUntil[server.Name], now.Add(cold)
	turnedCold := cold > 0 && until.Sub(known) > d.heartbeat
	turnedWarm := cold == 0 && known.Sub(now) > d.heartbeat
	if !turnedCold && !turnedWarm {
		return false
	}
	d.coldUntil[server.Name] = until
	d.coldNews = append(d.coldNews, ColdServer{Server: server, Until: until})
	return true
}

// TakeCold returns the servers that turned cold or warm since the last call, in the order
// in which they did.
func (d *Directory) TakeCold() []ColdServer {
	news := d.coldNews
	d.coldNews = nil
	return news
}

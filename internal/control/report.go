package control

import (
	"maps"
	"slices"
	"time"

	"mimosafront/internal/message"
)

const (
	// minProgressInterval and minReportInterval are the shortest times between
	// two progress reports, and between two heartbeats that list asks and
	// grants.
	minProgressInterval = 500 * time.Millisecond
	minReportInterval   = 2 * time.Second
	// progressEntryBytes and grantEntryBytes are the encoded sizes of one entry, about.
	progressEntryBytes = 120
	grantEntryBytes    = 260
	// maxProgressBytesPerSecond and maxReportBytesPerSecond bound what a host sends
	// of each.
	maxProgressBytesPerSecond = 3072
	maxReportBytesPerSecond   = 2048
	// reportRepeatTime is for how long a host gets reports after the last one that
	// listed anything. A coordinator drops what two reports in a row lack, but
	// not before a grant on its way must have arrived.
	reportRepeatTime = 15 * time.Second
)

// progressInterval returns the time between two progress reports of a host that
// holds so many grants.
func progressInterval(grants int) time.Duration {
	return max(minProgressInterval, time.Duration(grants*progressEntryBytes)*time.Second/maxProgressBytesPerSecond)
}

func reportInterval(grants int) time.Duration {
	return max(minReportInterval, time.Duration(grants*grantEntryBytes)*time.Second/maxReportBytesPerSecond)
}

// reportSchedule says which hosts get heartbeats that list asks and grants.
type reportSchedule struct {
	next time.Time
	// until is when a host stops to get reports.
	until map[string]time.Time
	// due are the hosts that get one at once.
	due map[string]bool
}

func newReportSchedule() reportSchedule {
	return reportSchedule{until: map[string]time.Time{}, due: map[string]bool{}}
}

// setDue makes a report to a host due at once.
func (r *reportSchedule) setDue(host string) { r.due[host] = true }

// extend keeps reports to a host coming: it was sent an ask or a release, which
// may be lost.
func (r *reportSchedule) extend(now time.Time, host string) {
	r.until[host] = now.Add(reportRepeatTime)
}

// sendReports sends the heartbeats that list asks and grants to the coordinators
// that these concern, and to those that they concerned lately.
func (l *Loop) sendReports(now time.Time) {
	r := &l.reports
	for _, host := range slices.Sorted(maps.Keys(r.due)) {
		l.sendReport(now, host)
	}
	clear(r.due)
	if now.Before(r.next) {
		return
	}
	r.next = now.Add(reportInterval(l.asker.Held()))
	for _, host := range l.asker.Coordinators() {
		r.extend(now, host)
	}
	for _, host := range slices.Sorted(maps.Keys(r.until)) {
		if now.After(r.until[host]) {
			delete(r.until, host)
			continue
		}
		l.sendReport(now, host)
	}
}

func (l *Loop) sendReport(now time.Time, host string) {
	h := l.member.Heartbeat()
	h.Reports = true
	h.Asks, h.Grants = l.asker.Heartbeat(host)
	l.send(now, host, &message.Frame{Heartbeat: h})
}

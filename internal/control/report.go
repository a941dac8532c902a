package control

import (
	"maps"
	"slices"
	"time"

	"mimosafront/internal/message"
)

const (
	// minProgressInterval and minReportInterval are the shortest times between two
	// progress messages, and between two reports. A report is a heartbeat that lists
	// asks and grants.
	minProgressInterval = 500 * time.Millisecond
	minReportInterval   = 2 * time.Second
	// progressEntryBytes and grantEntryBytes are the approximate encoded sizes of one
	// entry.
	progressEntryBytes = 120
	grantEntryBytes    = 260
	// maxProgressBytesPerSecond and maxReportBytesPerSecond limit the progress messages,
	// and the reports, that a host sends to all coordinators together.
	maxProgressBytesPerSecond = 3072
	maxReportBytesPerSecond   = 2048
	// reportRepeatTime is how long reports to a coordinator continue after the last
	// message or report to it that concerned an ask or a grant. A coordinator frees a
	// grant once two consecutive reports omit it and the grant can no longer be in
	// transit.
	reportRepeatTime = 15 * time.Second
)

// progressInterval returns the time between two progress messages of a host that holds
// the given number of grants.
func progressInterval(grants int) time.Duration {
	return max(minProgressInterval, time.Duration(grants*progressEntryBytes)*time.Second/maxProgressBytesPerSecond)
}

// reportInterval returns the time between two reports of a host that holds the given
// number of grants.
func reportInterval(grants int) time.Duration {
	return max(minReportInterval, time.Duration(grants*grantEntryBytes)*time.Second/maxReportBytesPerSecond)
}

// reportSchedule determines which hosts get reports, and when.
type reportSchedule struct {
	// next is when the next reports to the hosts in until are due.
	next time.Time
	// until is when the reports to each host end.
	until map[string]time.Time
	// due are the hosts that get a report at the next tick.
	due map[string]bool
}

func newReportSchedule() reportSchedule {
	return reportSchedule{until: map[string]time.Time{}, due: map[string]bool{}}
}

// setDue makes a report to a host due at the next tick.
func (r *reportSchedule) setDue(host string) { r.due[host] = true }

// extend prolongs the reports to a host after a message of the asker to it, which may be
// lost.
func (r *reportSchedule) extend(now time.Time, host string) {
	r.until[host] = now.Add(reportRepeatTime)
}

// sendReports sends the reports that are due: to the coordinators of the current asks
// and grants, and to those of recent ones.
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

// Package explain reconstructs the history of one request from the logs of several
// entry hosts.
package explain

import (
	"cmp"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"mimosafront/internal/eventlog"
	"mimosafront/internal/logread"
)

const (
	// contextBefore is how long before the first line of a request a change of state
	// may have affected it: the time for which a load report is valid.
	contextBefore = 5 * time.Second
	// contextAfter is how long after its last line a cause may still be detected and
	// logged.
	contextAfter = time.Second
)

// Entry is one log line of a timeline.
type Entry struct {
	// Host is the name of the entry host that logged the line.
	Host   string
	Record logread.Record
	// Context marks changes of state at about that time, as opposed to steps of the
	// request.
	Context bool
	// Others counts the further request ids in a line of folded refusals.
	Others int
}

// Timeline holds the log lines of one request and the context in which it ran.
type Timeline struct {
	Request string
	// Entries is sorted by time.
	Entries []Entry
	// Dropped counts the decision and end lines that the hosts in the timeline dropped
	// at about that time.
	Dropped int
}

// End returns the last line of the request, logged by its front, or nil if the logs
// do not contain it.
func (t *Timeline) End() *Entry {
	for i := range t.Entries {
		e := &t.Entries[i]
		if !e.Context && (e.Record.Message == eventlog.MessageRequest || e.isFoldedEnd()) {
			return e
		}
	}
	return nil
}

// isFoldedEnd reports whether the entry is a folded line of refused requests.
func (e *Entry) isFoldedEnd() bool {
	return e.Record.Message == eventlog.MessageFolded && e.Record.Value("kind") == eventlog.MessageRequest
}

// hostLog is the log of one entry host.
type hostLog struct {
	host    string
	records []logread.Record
}

// Read reads the log files of several hosts and returns the timeline of the request
// or operation with the given id. A log that does not name its host takes its name
// from the file.
func Read(id string, paths []string) (*Timeline, error) {
	var logs []hostLog
	for _, path := range paths {
		l := hostLog{host: strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))}
		err := logread.File(path, func(r logread.Record) {
			if r.Message == "started" && r.Has("host") {
				l.host = r.Value("host")
			}
			l.records = append(l.records, r)
		})
		if err != nil {
			return nil, err
		}
		logs = append(logs, l)
	}
	return buildTimeline(id, logs), nil
}

// buildTimeline collects the lines of a request and the changes of state at about that
// time on the hosts that logged such lines.
func buildTimeline(id string, logs []hostLog) *Timeline {
	t := &Timeline{Request: id}
	involved := make([]bool, len(logs))
	for i, l := range logs {
		for _, r := range l.records {
			others, ok := matches(&r, id)
			if !ok {
				continue
			}
			involved[i] = true
			t.Entries = append(t.Entries, Entry{Host: l.host, Record: r, Others: others})
		}
	}
	t.sort()
	if len(t.Entries) == 0 {
		return t
	}
	from := t.Entries[0].Record.Time.Add(-contextBefore)
	to := t.Entries[len(t.Entries)-1].Record.Time.Add(contextAfter)
	ended := t.End() != nil
	servers := t.servers()
	for i, l := range logs {
		if involved[i] {
			t.addContext(l, from, to, servers)
			t.countDropped(l, from, to, ended)
		}
	}
	t.sort()
	return t
}

// matches reports whether a line is about a request, and how many other requests the
// line names.
func matches(r *logread.Record, id string) (others int, ok bool) {
	if r.Message == eventlog.MessageFolded {
		ids := strings.Split(r.Value("requests"), ",")
		return len(ids) - 1, slices.Contains(ids, id)
	}
	return 0, r.Value("request") == id || r.Value("operation") == id
}

// servers returns the names of the backend servers in the timeline.
func (t *Timeline) servers() []string {
	var servers []string
	for _, e := range t.Entries {
		if name := e.Record.Value("server"); name != "" && !slices.Contains(servers, name) {
			servers = append(servers, name)
		}
	}
	return servers
}

// addContext adds the changes of state on one host between from and to.
func (t *Timeline) addContext(l hostLog, from, to time.Time, servers []string) {
	for _, r := range l.records {
		if r.Time.Before(from) || r.Time.After(to) {
			continue
		}
		if isStateChange(&r, servers) {
			t.Entries = append(t.Entries, Entry{Host: l.host, Record: r, Context: true})
		}
	}
}

// countDropped adds the decision and end lines that a host dropped between from and
// to. If the end of the request is unknown, all later ones count too.
func (t *Timeline) countDropped(l hostLog, from, to time.Time, ended bool) {
	for _, r := range l.records {
		if r.Message == eventlog.MessageDropped && !r.Time.Before(from) && !(ended && r.Time.After(to)) {
			t.Dropped += droppedLines(&r)
		}
	}
}

// isStateChange reports whether a line is a change of state of the process, of a
// dependency, or of one of the given backend servers.
func isStateChange(r *logread.Record, servers []string) bool {
	switch {
	case r.Has("request") || r.Has("operation"):
		return false
	case r.Message == eventlog.MessageFolded || r.Message == eventlog.MessageDropped:
		return false
	case r.Has("server"):
		return slices.Contains(servers, r.Value("server"))
	}
	return true
}

func (t *Timeline) sort() {
	slices.SortStableFunc(t.Entries, func(a, b Entry) int {
		return cmp.Or(a.Record.Time.Compare(b.Record.Time), cmp.Compare(a.Host, b.Host))
	})
}

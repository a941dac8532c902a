// Package explain puts together, from the logs of several entry hosts, what
// happened to one request.
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
	// contextBefore is how long before the first line of a request a change of
	// state may have to do with it: the time for which a load report is believed.
	contextBefore = 5 * time.Second
	// contextAfter its last line a cause may still be noticed and logged.
	contextAfter = time.Second
)

// Entry is one line of a story.
type Entry struct {
	// Host is the entry host that logged the line.
	Host   string
	Record logread.Record
	// Context lines are changes of state about that time, not steps of the request.
	Context bool
	// Others counts the refusals that the line stands for besides the request's.
	Others int
}

// Timeline is what the logs tell of one request.
type Timeline struct {
	Request string
	// Entries are in the order of their times.
	Entries []Entry
	// Dropped counts the steps and ends that the hosts of the story did not log
	// about that time.
	Dropped int
}

// End returns the last line of the request from its front, or nil if the logs
// have none.
func (s *Timeline) End() *Entry {
	for i := range s.Entries {
		e := &s.Entries[i]
		if !e.Context && (e.Record.Message == eventlog.MessageRequest || e.isFoldedEnd()) {
			return e
		}
	}
	return nil
}

// isFoldedEnd reports whether a folded line stands for last lines of requests.
func (e *Entry) isFoldedEnd() bool {
	return e.Record.Message == eventlog.MessageFolded && e.Record.Value("kind") == eventlog.MessageRequest
}

// hostLog is the log of one host.
type hostLog struct {
	host    string
	records []logread.Record
}

// Read reads the logs of several hosts and returns the story of a request or of an
// operation, by its id.
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

// buildTimeline collects the lines of a request, and the changes of state about that time on
// the hosts that had to do with it.
func buildTimeline(id string, logs []hostLog) *Timeline {
	s := &Timeline{Request: id}
	involved := make([]bool, len(logs))
	for i, l := range logs {
		for _, r := range l.records {
			others, ok := matches(&r, id)
			if !ok {
				continue
			}
			involved[i] = true
			s.Entries = append(s.Entries, Entry{Host: l.host, Record: r, Others: others})
		}
	}
	s.sort()
	if len(s.Entries) == 0 {
		return s
	}
	from := s.Entries[0].Record.Time.Add(-contextBefore)
	to := s.Entries[len(s.Entries)-1].Record.Time.Add(contextAfter)
	ended := s.End() != nil
	servers := s.servers()
	for i, l := range logs {
		if involved[i] {
			s.addContext(l, from, to, servers)
			s.countDropped(l, from, to, ended)
		}
	}
	s.sort()
	return s
}

// matches reports whether a line is about a request, and for how many others it
// stands.
func matches(r *logread.Record, id string) (others int, ok bool) {
	if r.Message == eventlog.MessageFolded {
		ids := strings.Split(r.Value("requests"), ",")
		return len(ids) - 1, slices.Contains(ids, id)
	}
	return 0, r.Value("request") == id || r.Value("operation") == id
}

// servers returns the backend servers that the story names.
func (s *Timeline) servers() []string {
	var servers []string
	for _, e := range s.Entries {
		if name := e.Record.Value("server"); name != "" && !slices.Contains(servers, name) {
			servers = append(servers, name)
		}
	}
	return servers
}

// addContext adds the changes of state of one host.
func (s *Timeline) addContext(l hostLog, from, to time.Time, servers []string) {
	for _, r := range l.records {
		if r.Time.Before(from) || r.Time.After(to) {
			continue
		}
		if isStateChange(&r, servers) {
			s.Entries = append(s.Entries, Entry{Host: l.host, Record: r, Context: true})
		}
	}
}

// countDropped counts the steps and ends that a host did not log about the time of
// a request; at any time after it, if its end is unknown.
func (s *Timeline) countDropped(l hostLog, from, to time.Time, ended bool) {
	for _, r := range l.records {
		if r.Message == eventlog.MessageDropped && !r.Time.Before(from) && !(ended && r.Time.After(to)) {
			s.Dropped += droppedLines(&r)
		}
	}
}

// isStateChange reports whether a line tells a change of the process, of what it
// depends on, or of one of some backend servers.
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

func (s *Timeline) sort() {
	slices.SortStableFunc(s.Entries, func(a, b Entry) int {
		return cmp.Or(a.Record.Time.Compare(b.Record.Time), cmp.Compare(a.Host, b.Host))
	})
}

package soak

import (
	"path/filepath"
	"slices"
	"time"

	"mimosafront/internal/logread"
)

// decision is a log line that grants a request or ends its grant.
type decision struct {
	at      time.Time
	granted bool
}

// grantedAfter maps log messages to whether the request holds a grant afterwards.
var grantedAfter = map[string]bool{"grant": true, "revoke": false, "request": false}

// decisions maps request IDs to their decisions in order of time.
type decisions map[string][]decision

// readDecisions reads the decisions from the logs of all hosts in a directory.
func readDecisions(directory string) (decisions, error) {
	all := decisions{}
	for _, name := range hostNames {
		if err := all.readLog(filepath.Join(directory, name+".log")); err != nil {
			return nil, err
		}
	}
	for _, list := range all {
		slices.SortFunc(list, func(a, b decision) int { return a.at.Compare(b.at) })
	}
	return all, nil
}

// readLog adds the decisions of one log.
func (d decisions) readLog(path string) error { return logread.File(path, d.add) }

// add records a log line if it is a decision.
func (d decisions) add(r logread.Record) {
	if granted, ok := grantedAfter[r.Message]; ok {
		id := r.Value("request")
		d[id] = append(d[id], decision{at: r.Time, granted: granted})
	}
}

// grantEndedBy reports whether the last decision on a request at or before a time
// ended its grant.
func (d decisions) grantEndedBy(id string, at time.Time) bool {
	ended := false
	for _, made := range d[id] {
		if made.at.After(at) {
			break
		}
		ended = !made.granted
	}
	return ended
}

package soak

import (
	"path/filepath"
	"slices"
	"time"

	"mimosafront/internal/logread"
)

// decision is one line of a daemon's log that begins or ends a grant of a request.
type decision struct {
	at      time.Time
	granted bool
}

// grantedAfter tells for the messages that begin or end a grant whether the request
// holds one afterwards.
var grantedAfter = map[string]bool{"grant": true, "revoke": false, "request": false}

// decisions holds the decisions on each request, by its id, in the order of
// their times.
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

// add takes the decision of one line, if it is one.
func (d decisions) add(r logread.Record) {
	if granted, ok := grantedAfter[r.Message]; ok {
		id := r.Value("request")
		d[id] = append(d[id], decision{at: r.Time, granted: granted})
	}
}

// grantEndedBy reports whether the last decision on a request up to a time ended its
// grant.
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

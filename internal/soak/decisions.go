package soak

import (
	"bufio"
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/go-logfmt/logfmt"
)

// decision is one line of a daemon's log that begins or ends a grant of a request.
type decision struct {
	at      time.Time
	granted bool
}

// grantLines tells for the messages that begin or end a grant whether the request
// holds one afterwards.
var grantLines = map[string]bool{"grant": true, "revoke": false, "request": false}

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

// readLog adds the decisions of one log. A process that is killed may leave a cut
// line, which is passed over.
func (d decisions) readLog(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		d.add(lines.Bytes())
	}
	return lines.Err()
}

// add takes the decision of one line, if it is one.
func (d decisions) add(line []byte) {
	fields := map[string]string{}
	decoder := logfmt.NewDecoder(bytes.NewReader(line))
	decoder.ScanRecord()
	for decoder.ScanKeyval() {
		fields[string(decoder.Key())] = string(decoder.Value())
	}
	granted, ok := grantLines[fields["msg"]]
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	if !ok || err != nil {
		return
	}
	id := fields["request"]
	d[id] = append(d[id], decision{at: at, granted: granted})
}

// endedBy reports whether the last decision on a request up to a time ended its
// grant.
func (d decisions) endedBy(id string, at time.Time) bool {
	ended := false
	for _, made := range d[id] {
		if made.at.After(at) {
			break
		}
		ended = !made.granted
	}
	return ended
}

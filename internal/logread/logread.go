// Package logread parses the log files of daemons, in the formats logfmt and JSON.
package logread

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLineBytes is the longest accepted line. Reading stops with an error at a longer
// one.
const maxLineBytes = 1 << 20

// Field is a named value of a line.
type Field struct{ Name, Value string }

// Record is a parsed log line.
type Record struct {
	Time    time.Time
	Level   string
	Message string
	// Fields holds all fields except time, level and message: in the order of the line
	// for logfmt, sorted by name for JSON.
	Fields []Field
}

// Value returns the value of a field, or "" if the line does not have it.
func (r *Record) Value(name string) string {
	for _, f := range r.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Has reports whether the line has a field of the given name.
func (r *Record) Has(name string) bool {
	for _, f := range r.Fields {
		if f.Name == name {
			return true
		}
	}
	return false
}

// File calls each for every log line of a file, in order. Lines that are not log lines
// are skipped: a killed process may leave a truncated line, and the file may contain
// other output.
func File(path string, each func(Record)) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := Lines(file, each); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// Lines calls each for every log line of r, in order. It skips other lines as File
// does.
func Lines(r io.Reader, each func(Record)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if record, ok := Parse(lines.Bytes()); ok {
			each(record)
		}
	}
	return lines.Err()
}

// Parse parses one line. It returns false unless the line has a time and a message.
func Parse(text []byte) (Record, bool) {
	var r Record
	if bytes.HasPrefix(text, []byte("{")) {
		r = parseJSON(text)
	} else {
		r = parseLogfmt(text)
	}
	return r, !r.Time.IsZero() && r.Message != ""
}

func parseLogfmt(text []byte) Record {
	var r Record
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	decoder.ScanRecord()
	for decoder.ScanKeyval() {
		r.set(string(decoder.Key()), string(decoder.Value()))
	}
	if decoder.Err() != nil {
		return Record{}
	}
	return r
}

func parseJSON(text []byte) Record {
	var r Record
	values := map[string]json.RawMessage{}
	if json.Unmarshal(text, &values) != nil {
		return r
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		value := string(values[name])
		var text string
		if json.Unmarshal(values[name], &text) == nil {
			value = text
		}
		r.set(name, value)
	}
	return r
}

// set stores one field of a line. An invalid time stays zero, so that Parse rejects
// the line.
func (r *Record) set(name, value string) {
	switch name {
	case "time":
		r.Time, _ = time.Parse(time.RFC3339Nano, value)
	case "level":
		r.Level = value
	case "msg":
		r.Message = value
	default:
		r.Fields = append(r.Fields, Field{name, value})
	}
}

// Package logread reads the log files of daemons, in the formats logfmt and json.
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

// maxLineBytes bounds one line; a longer one ends the reading with an error.
const maxLineBytes = 1 << 20

// Field is one named value of a line.
type Field struct{ Name, Value string }

// Record is one line.
type Record struct {
	Time    time.Time
	Level   string
	Message string
	// Fields are those besides time, level and message, in the order of the line,
	// or by name if the line is JSON.
	Fields []Field
}

// Value returns a field; it is empty if the line has none of the name.
func (r *Record) Value(name string) string {
	for _, f := range r.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Has reports whether the line has a field.
func (r *Record) Has(name string) bool {
	for _, f := range r.Fields {
		if f.Name == name {
			return true
		}
	}
	return false
}

// File reads the lines of a file in their order. Lines that are no log lines are
// passed over: a killed process may leave a cut one, and other output may stand
// between.
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

// Lines reads the lines of a log in their order, see File.
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

// Parse reads one line. It fails if the line has no time and message.
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

// set takes one field of a line. A time that can't be read stays zero, which
// makes the line none.
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

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run, with the time since its start. It
// is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_ = r.out.Flush()
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.write(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.file.Close()
}

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record collects what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	begin time.Time
	lines []string
}

func newRecord() *record { return &record{begin: time.Now()} }

// add adds a line with the time since the beginning.
func (r *record) add(format string, args ...any) {
	at := time.Since(r.begin)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", at.Seconds())+fmt.Sprintf(format, args...))
}

// since returns a time in seconds since the beginning.
func (r *record) since(t time.Time) float64 { return t.Sub(r.begin).Seconds() }

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(file)
	for _, line := range r.lines {
		fmt.Fprintln(w, line)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return file.Close()
}

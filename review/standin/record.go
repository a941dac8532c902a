package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	broken  int
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, started: time.Now()}, nil
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// violation records a breach of the rule.
func (r *recorder) violation(format string, args ...any) {
	r.mu.Lock()
	r.broken++
	r.mu.Unlock()
	r.printf("RULE BROKEN: "+format, args...)
}

func (r *recorder) violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

package backend

import (
	"errors"
	"io"
	"strings"
	"testing"

	"mimosafront/internal/memlimit"
)

// zeros is a body that never ends.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestEndlessBodiesShareBoundedMemory guards against a host that runs out of memory because
// many servers answer with bodies that don't end.
func TestEndlessBodiesShareBoundedMemory(t *testing.T) {
	memory := NewAnswerMemory()
	reservations := make([]*memlimit.Reservation, 20)
	// All bodies are held at once, as by callers that read slowly.
	for i := range reservations {
		reservations[i] = memory.Reserve()
		if _, err := readBody(zeros{}, reservations[i]); !errors.Is(err, errBodyTooLong) {
			t.Fatalf("an endless body was read, error %v", err)
		}
		if used := memory.Used(); used > maxAnswerMemory {
			t.Fatalf("%d bytes are reserved, want at most %d", used, maxAnswerMemory)
		}
	}
	small := strings.Repeat("x", freeAnswerBytes)
	if body, err := readBody(strings.NewReader(small), memory.Reserve()); err != nil || len(body) != len(small) {
		t.Errorf("a small body was not read beside the others: %d bytes, %v", len(body), err)
	}
	for _, r := range reservations {
		r.Release()
	}
	if used := memory.Used(); used != 0 {
		t.Errorf("%d bytes stay reserved", used)
	}
	large := strings.Repeat("x", maxAnswerBytes)
	if body, err := readBody(strings.NewReader(large), memory.Reserve()); err != nil || len(body) != maxAnswerBytes {
		t.Errorf("a body of the maximum size was not read: %d bytes, %v", len(body), err)
	}
}

// TestStreamWithoutChunksEnds guards against a stream of comments that holds its request
// up to the deadline.
func TestStreamWithoutChunksEnds(t *testing.T) {
	r := &progressReader{source: zeros{}, left: maxSilentBytes, memory: NewAnswerMemory().Reserve()}
	n, err := io.Copy(io.Discard, r)
	var malformed malformedError
	if n != maxSilentBytes || !errors.As(err, &malformed) {
		t.Errorf("read %d bytes and error %v, want %d and a malformed stream", n, err, maxSilentBytes)
	}
	r.progress()
	if n, err := r.Read(make([]byte, 10)); n != 10 || err != nil {
		t.Errorf("read %d bytes after a chunk, error %v", n, err)
	}
}

package engine

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"time"
)

// EndlessMode says where in an answer endless bytes begin.
type EndlessMode string

// The modes of endless answers.
const (
	EndlessNone EndlessMode = ""
	// EndlessHeader is a header whose value never ends.
	EndlessHeader EndlessMode = "header"
	// EndlessLine is a stream with a line that never ends.
	EndlessLine EndlessMode = "line"
	// EndlessComments is a stream of comments without an event.
	EndlessComments EndlessMode = "comments"
)

// endlessBlock is the number of bytes of one write of an endless answer.
const endlessBlock = 16 << 10

// endlessAnswers makes an engine answer with bytes that don't end.
type endlessAnswers struct {
	mu      sync.Mutex
	mode    EndlessMode
	answers []EndlessAnswer
}

// EndlessAnswer is an answer without an end that a caller was sent.
type EndlessAnswer struct {
	Request string
	Mode    EndlessMode
	Began   time.Time
	// Ended is when the caller closed the connection; zero while it is open.
	Ended time.Time
	Bytes int
}

// SetEndless makes the engine run all completions that arrive from now on and answer
// them with endless bytes in a mode, or as usual again.
func (e *Engine) SetEndless(mode EndlessMode) {
	e.endless.mu.Lock()
	defer e.endless.mu.Unlock()
	e.endless.mode = mode
}

// EndlessAnswers returns the endless answers that callers were sent.
func (e *Engine) EndlessAnswers() []EndlessAnswer {
	e.endless.mu.Lock()
	defer e.endless.mu.Unlock()
	return append([]EndlessAnswer{}, e.endless.answers...)
}

func (a *endlessAnswers) currentMode() EndlessMode {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.mode
}

// begin records an endless answer and returns its index.
func (a *endlessAnswers) begin(request string, mode EndlessMode) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers = append(a.answers, EndlessAnswer{Request: request, Mode: mode, Began: time.Now()})
	return len(a.answers) - 1
}

func (a *endlessAnswers) end(index, sent int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers[index].Ended, a.answers[index].Bytes = time.Now(), sent
}

// answerEndlessly answers a request with endless bytes until its caller closes the
// connection or the engine stops.
func (e *Engine) answerEndlessly(w http.ResponseWriter, s *sequence, mode EndlessMode) {
	index, sent := e.endless.begin(s.id, mode), 0
	defer func() { e.endless.end(index, sent) }()
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		writeError(w, http.StatusInternalServerError, err.Error())
		return
	}
	defer conn.Close()
	head, block := endlessBytes(mode)
	_, _ = buffer.WriteString(head)
	if buffer.Flush() != nil {
		return
	}
	for {
		select {
		case <-e.done:
			return
		default:
		}
		n, err := writeBlock(conn, block)
		if sent += n; err != nil {
			return
		}
	}
}

// writeBlock writes bytes unless the caller reads none of them for a minute.
func writeBlock(conn net.Conn, block []byte) (int, error) {
	_ = conn.SetWriteDeadline(time.Now().Add(time.Minute))
	return conn.Write(block)
}

// endlessBytes returns the begin of an answer and the bytes that are repeated after it.
func endlessBytes(mode EndlessMode) (head string, block []byte) {
	const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	switch mode {
	case EndlessHeader:
		return "HTTP/1.1 200 OK\r\nX-Trace: ", bytes.Repeat([]byte("x"), endlessBlock)
	case EndlessComments:
		return streamHead, bytes.Repeat([]byte(": still here\n\n"), endlessBlock/14)
	default:
		return streamHead, bytes.Repeat([]byte("x"), endlessBlock)
	}
}

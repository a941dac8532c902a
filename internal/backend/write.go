package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
	"time"
)

const (
	// writeBufferBytes is the size of the write buffer, in bytes. A request whose body is
	// not longer is written before its answer is read, and in one write.
	writeBufferBytes = 32 << 10
	// promptWriteTimeout limits the time to write such a request. What the server has not
	// taken by then is written while its answer is read.
	promptWriteTimeout = 100 * time.Millisecond
	// lateWriteTimeout limits the time to write the rest of a request after its answer.
	lateWriteTimeout = 5 * time.Second
)

// startWrite writes a request. A server may pause while it reads a long request, and may
// answer before it has read it: the rest is then written while the answer is read. The
// returned error is that of an exchange in which nothing was sent, or which was
// cancelled. Any other failure to write isn't final, since the server may have answered.
func (c *Conn) startWrite(r *http.Request) *Error {
	if c.used {
		return c.newError(KindMalformed, errors.New("connection has already carried a request"))
	}
	c.used = true
	if c.ctx.Err() != nil {
		return c.newError(KindCancelled, context.Cause(c.ctx))
	}
	if r.ContentLength > writeBufferBytes {
		c.writeInBackground(func() error {
			buffer := bufio.NewWriterSize(countingWriter{c}, writeBufferBytes)
			return errors.Join(r.Write(buffer), buffer.Flush())
		})
		return nil
	}
	var request bytes.Buffer
	if err := r.Write(&request); err != nil {
		return c.newError(KindMalformed, err)
	}
	c.setWriteDeadline(time.Now().Add(promptWriteTimeout))
	_, err := countingWriter{c}.Write(request.Bytes())
	c.checkedBytes = c.written.Load()
	if errors.Is(err, os.ErrDeadlineExceeded) && c.ctx.Err() == nil {
		rest := request.Bytes()[c.checkedBytes:]
		c.setWriteDeadline(time.Time{})
		c.writeInBackground(func() error {
			_, err := countingWriter{c}.Write(rest)
			return err
		})
		return nil
	}
	c.writeErr = err
	if err != nil && (c.ctx.Err() != nil || c.written.Load() == 0) {
		return c.classifyIOError(err)
	}
	return nil
}

// writeInBackground runs a write of the request, or of its rest, until it ends or the
// connection is closed. If nothing could be written, it closes the connection, which ends
// the wait for an answer.
func (c *Conn) writeInBackground(write func() error) {
	c.writeEnded = make(chan struct{})
	go func() {
		defer close(c.writeEnded)
		if c.writeErr = write(); c.writeErr != nil && c.written.Load() == 0 {
			_ = c.raw.Close()
		}
	}()
}

// isWriting reports whether a part of the request is still being written.
func (c *Conn) isWriting() bool {
	if c.writeEnded == nil {
		return false
	}
	select {
	case <-c.writeEnded:
		return false
	default:
		return true
	}
}

// requestWritten reports whether the request was written whole.
func (c *Conn) requestWritten() bool { return !c.isWriting() && c.writeErr == nil }

// awaitWrite waits until the write of the request has ended, at most for lateWriteTimeout,
// and reports whether the request was written whole. The server may have taken the last of
// it although this goroutine hears of that later than of the end of the answer.
func (c *Conn) awaitWrite() bool {
	if c.writeEnded == nil {
		return c.writeErr == nil
	}
	timer := time.NewTimer(lateWriteTimeout)
	defer timer.Stop()
	select {
	case <-c.writeEnded:
		return c.writeErr == nil
	case <-timer.C:
	case <-c.ctx.Done():
	}
	return false
}

// wroteSinceCheck reports whether a part of the request was written since the last call.
func (c *Conn) wroteSinceCheck() bool {
	before := c.checkedBytes
	c.checkedBytes = c.written.Load()
	return c.checkedBytes > before
}

// stopWrite closes the connection and waits until no more of the request is written.
func (c *Conn) stopWrite() {
	if c.writeEnded == nil {
		return
	}
	c.closeRaw()
	<-c.writeEnded
}

// closeWhenWritten closes the connection once the request is written, at the latest after
// lateWriteTimeout. The end of the context doesn't interrupt the write.
func (c *Conn) closeWhenWritten() {
	if !c.stopWatch() {
		_ = c.raw.Close()
		return
	}
	timer := time.AfterFunc(lateWriteTimeout, func() { _ = c.raw.Close() })
	go func() {
		<-c.writeEnded
		timer.Stop()
		_ = c.raw.Close()
	}()
}

// countingWriter writes to the connection and counts the bytes written.
type countingWriter struct{ c *Conn }

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.c.raw.Write(p)
	w.c.written.Add(int64(n))
	return n, err
}

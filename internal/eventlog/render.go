package eventlog

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"mimosafront/internal/settings"
)

// renderer formats lines, each with its own timestamp in UTC. It is not safe for
// concurrent use.
type renderer struct {
	logger *log.Logger
	buffer bytes.Buffer
	time   time.Time
}

func newRenderer(format settings.LogFormat) *renderer {
	r := &renderer{}
	formatters := map[settings.LogFormat]log.Formatter{
		settings.LogFormatText:   log.TextFormatter,
		settings.LogFormatJson:   log.JSONFormatter,
		settings.LogFormatLogfmt: log.LogfmtFormatter,
	}
	r.logger = log.NewWithOptions(&r.buffer, log.Options{
		Level:           log.DebugLevel,
		Formatter:       formatters[format],
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		TimeFunction:    func(time.Time) time.Time { return r.time },
	})
	return r
}

// render returns the text of a line. The slice is valid until the next call.
func (r *renderer) render(n line) []byte {
	r.buffer.Reset()
	r.time = n.time.UTC()
	r.logger.Log(n.level, n.message, n.fields...)
	return r.buffer.Bytes()
}

// directSink writes each line synchronously.
type directSink struct {
	mu       sync.Mutex
	writer   io.Writer
	renderer *renderer
}

func newDirectSink(w io.Writer) *directSink {
	return &directSink{writer: w, renderer: newRenderer(settings.LogFormatLogfmt)}
}

func (d *directSink) put(n line) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// A write error is ignored: there is no other output to report it to.
	_, _ = d.writer.Write(d.renderer.render(n))
}

func (d *directSink) close(time.Duration) {}

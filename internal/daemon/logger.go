package daemon

import (
	"io"
	"time"

	"github.com/charmbracelet/log"

	"mimosafront/internal/settings"
)

// NewLogger returns the logger that the settings describe.
func NewLogger(w io.Writer, s settings.Log) (*log.Logger, error) {
	level, err := log.ParseLevel(string(s.Level))
	if err != nil {
		return nil, err
	}
	formatters := map[settings.LogFormat]log.Formatter{
		settings.LogFormatText:   log.TextFormatter,
		settings.LogFormatJson:   log.JSONFormatter,
		settings.LogFormatLogfmt: log.LogfmtFormatter,
	}
	return log.NewWithOptions(w, log.Options{
		Level:           level,
		Formatter:       formatters[s.Format],
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	}), nil
}

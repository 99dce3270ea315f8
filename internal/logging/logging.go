// Package logging makes the daemon's loggers. Every line carries the field "part",
// which names the part of the system that wrote it.
package logging

import (
	"io"

	"github.com/rs/zerolog"
)

// New returns the root logger that writes JSON lines at the given level
// ("debug", "info", "warn" or "error") to w.
func New(w io.Writer, level string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), err
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(w).Level(l).With().Timestamp().Logger(), nil
}

// Part returns a logger for one part of the system, such as "control".
func Part(l zerolog.Logger, part string) zerolog.Logger {
	return l.With().Str("part", part).Logger()
}

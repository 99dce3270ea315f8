// Package logging creates the daemon's loggers. Each component logs with the field "part",
// which holds its name.
package logging

import (
	"io"

	"github.com/rs/zerolog"
)

// New returns the root logger. It writes JSON lines of the given level
// ("debug", "info", "warn" or "error") and above to w.
func New(w io.Writer, level string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), err
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(w).Level(l).With().Timestamp().Logger(), nil
}

// Part returns the logger of one component, such as "control".
func Part(l zerolog.Logger, part string) zerolog.Logger {
	return l.With().Str("part", part).Logger()
}

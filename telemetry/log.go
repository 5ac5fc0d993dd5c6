package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// logBufferLines is the number of lines that are buffered for the output. When the
// buffer is full, a new line replaces the oldest, and lost lines are counted.
const logBufferLines = 4096

// NewNonBlockingLogger returns a logger for a process of a deployment. It never
// blocks: a goroutine writes the lines from a buffer, and logs how many were lost
// because the output was too slow.
func NewNonBlockingLogger(out io.Writer, host, role string) zerolog.Logger {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	w := diode.NewWriter(out, logBufferLines, 0, func(lost int) {
		fmt.Fprintf(out, "{\"event\":\"log_lines_dropped\",\"host\":%q,\"count\":%d}\n", host, lost)
	})
	return zerolog.New(w).With().Timestamp().Str("host", host).Str("role", role).Logger()
}

// RateLimiter passes at most a fixed number of lines in each second, and counts the
// lines that it drops. It implements [zerolog.Sampler].
type RateLimiter struct {
	log          zerolog.Logger
	name         string
	maxPerSecond int

	mu          sync.Mutex
	secondStart time.Time
	passed      int
	dropped     int
}

// NewRateLimitedLogger returns a logger that writes at most maxPerSecond lines per
// second to log. name identifies the lines in the event that reports how many were
// dropped.
func NewRateLimitedLogger(log zerolog.Logger, name string, maxPerSecond int) zerolog.Logger {
	return log.Sample(&RateLimiter{log: log, name: name, maxPerSecond: maxPerSecond})
}

// Sample reports whether a line is written. Before the first line of a second it
// logs how many were dropped before.
func (l *RateLimiter) Sample(zerolog.Level) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.secondStart) >= time.Second {
		if l.dropped > 0 {
			l.log.Warn().Str("event", "log_lines_left_out").Str("lines", l.name).Int("count", l.dropped).Send()
		}
		l.secondStart, l.passed, l.dropped = now, 0, 0
	}
	if l.passed >= l.maxPerSecond {
		l.dropped++
		return false
	}
	l.passed++
	return true
}

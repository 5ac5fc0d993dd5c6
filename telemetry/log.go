package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// logRing is how many lines wait for the output; further ones take the place of
// the oldest and are counted.
const logRing = 4096

// NewNonBlockingLogger returns a logger of a process of a deployment. It never blocks: a
// goroutine writes the lines, and says how many were lost because the output did
// not take them.
func NewNonBlockingLogger(out io.Writer, host, role string) zerolog.Logger {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	w := diode.NewWriter(out, logRing, 0, func(lost int) {
		fmt.Fprintf(out, "{\"event\":\"log_lines_dropped\",\"host\":%q,\"count\":%d}\n", host, lost)
	})
	return zerolog.New(w).With().Timestamp().Str("host", host).Str("role", role).Logger()
}

// RateLimiter passes on at most a number of lines in each second and counts the
// others. It implements [zerolog.Sampler].
type RateLimiter struct {
	log   zerolog.Logger
	lines string
	most  int

	mu     sync.Mutex
	second time.Time
	passed int
	left   int
}

// NewRateLimitedLogger returns a logger that passes on at most so many lines a second.
// lines names them where it is told how many were left out.
func NewRateLimitedLogger(log zerolog.Logger, lines string, most int) zerolog.Logger {
	return log.Sample(&RateLimiter{log: log, lines: lines, most: most})
}

// Sample reports whether a line is passed on. The first line of a second tells
// how many were left out before it.
func (b *RateLimiter) Sample(zerolog.Level) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now(); now.Sub(b.second) >= time.Second {
		if b.left > 0 {
			b.log.Warn().Str("event", "log_lines_left_out").Str("lines", b.lines).Int("count", b.left).Send()
		}
		b.second, b.passed, b.left = now, 0, 0
	}
	if b.passed >= b.most {
		b.left++
		return false
	}
	b.passed++
	return true
}

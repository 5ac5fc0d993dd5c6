package telemetry

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// TestStalledOutputDoesNotBlock logs many more lines than the buffer holds while the
// output is not read.
func TestStalledOutputDoesNotBlock(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	log := NewNonBlockingLogger(writer, "h", "gateway")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10 * logBufferLines {
			log.Info().Str("event", "request_ended").Send()
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks on the output")
	}
}

// TestDroppedLinesAreCounted logs more lines than the limit per second. The first
// line of the next second must be preceded by the number of dropped lines.
func TestDroppedLinesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := NewRateLimitedLogger(zerolog.New(&out), "failures", 3)
		for range 10 {
			log.Warn().Str("event", "try_failed").Send()
		}
		time.Sleep(time.Second)
		log.Warn().Str("event", "try_failed").Send()
		if got := strings.Count(out.String(), "try_failed"); got != 4 {
			t.Errorf("%d lines were written, want 4", got)
		}
		if !strings.Contains(out.String(), `"event":"log_lines_left_out","lines":"failures","count":7`) {
			t.Errorf("the 7 dropped lines are not reported: %s", out.String())
		}
	})
}

// BenchmarkLine measures the cost of the log line of one request.
func BenchmarkLine(b *testing.B) {
	for name, log := range map[string]zerolog.Logger{"on": NewNonBlockingLogger(io.Discard, "h", "gateway"), "off": zerolog.Nop()} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				log.Info().Str("event", "request_ended").Str("request_id", "0123456789abcdef").Str("route", "r-1").
					Str("service", "s").Uint64("config_version", 12).Int("status", 200).Str("server", "i-0123456789").
					Int("tries", 1).Dur("took_ms", time.Second).Dur("asked_ms", time.Millisecond).Send()
			}
		})
	}
}

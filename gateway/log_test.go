package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tanagerbarrow/telemetry"
)

// TestStalledLogDelaysNoRequest serves requests while nothing reads the log of the
// process: log lines are dropped, and the requests must not block.
func TestStalledLogDelaysNoRequest(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	address := scriptedServer(t, func(c net.Conn, r *http.Request) { respond(c, r, http.StatusInternalServerError, "", "failed") })
	log := telemetry.NewNonBlockingLogger(writer, "e", "gateway")
	_, entry := setUpWithLog(t, log, address)
	for range 5000 {
		log.Warn().Str("event", "try_failed").Send()
	}
	for range 300 {
		begun := time.Now()
		if res, _ := entry.send(t, http.MethodPost, "/once/", ""); res.StatusCode != http.StatusInternalServerError {
			t.Fatalf("status %d, want the server's 500", res.StatusCode)
		}
		if took := time.Since(begun); took > time.Second {
			t.Fatalf("a request took %v while the log stalled", took)
		}
	}
}

// BenchmarkRequest measures a request through an entry, with its caller and its
// backend server in the same process, with and without a log.
func BenchmarkRequest(b *testing.B) {
	for name, log := range map[string]zerolog.Logger{
		"on": telemetry.NewNonBlockingLogger(io.Discard, "e", "gateway"), "off": zerolog.Nop(),
	} {
		b.Run(name, func(b *testing.B) {
			address := scriptedServer(b, func(c net.Conn, r *http.Request) { respond(c, r, 200, "", "done") })
			_, entry := setUpWithLog(b, log, address)
			for b.Loop() {
				entry.send(b, http.MethodGet, "/safe/", "")
			}
		})
	}
}

package gateway

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// lockedBuffer is a log that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// TestBackoffsAreLogged checks the log lines of a server that asks for a pause.
func TestBackoffsAreLogged(t *testing.T) {
	log := &lockedBuffer{}
	busy := scriptedServer(t, func(c net.Conn, r *http.Request) {
		respond(c, r, 503, notRunHeader+": 1\r\n"+retryHeader+": 0.2\r\n", "")
	})
	ready := scriptedServer(t, func(c net.Conn, r *http.Request) { respond(c, r, 200, "", "x") })
	_, e := setUpWithLog(t, zerolog.New(log), busy, ready)
	e.send(t, http.MethodGet, "/safe/x", "")
	for range 200 {
		if strings.Contains(log.String(), `"event":"server_backoff_ended"`) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, line := range []string{
		`"event":"server_backoff","server":"server-1","service":"s","source":"request","for_ms":200`,
		`"event":"server_backoff_ended","server":"server-1","service":"s","requests":0,"checks":0`,
	} {
		if strings.Count(log.String(), line) != 1 {
			t.Errorf("no line %s in\n%s", line, log)
		}
	}
}

package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestUploadEndWaitsForSteadyPace sends a body that takes the entry's link 100 ms
// to a server whose machine is slow when the body has nearly arrived and no longer
// slow 50 ms later. The server must receive the end of the body only then, and the
// complete body unchanged.
func TestUploadEndWaitsForSteadyPace(t *testing.T) {
	begun := time.Now()
	const slowFor = 150 * time.Millisecond
	var checks atomic.Int32
	var arrived atomic.Int64
	body := strings.Repeat("0123456789", 10_000)
	address := scriptedServer(t, func(c net.Conn, r *http.Request) {
		pace := 500
		if time.Since(begun) > slowFor {
			pace = 100
		}
		load := fmt.Sprintf("%s: %d\r\n", paceHeader, pace)
		if r.Method == http.MethodGet {
			checks.Add(1)
			respond(c, r, http.StatusOK, load, "")
			return
		}
		got, _ := io.ReadAll(r.Body)
		arrived.Store(int64(time.Since(begun)))
		respond(c, r, http.StatusOK, "", fmt.Sprint(string(got) == body))
	})
	_, entry := setUp(t, address)
	entry.options.Settings.LinkBytesPerSecond = 1_000_000
	begun = time.Now()
	res, text := entry.send(t, http.MethodPost, "/once/", body)
	if res.StatusCode != http.StatusOK || text != "true" {
		t.Fatalf("status %d, body unchanged: %s", res.StatusCode, text)
	}
	if at := time.Duration(arrived.Load()); at < slowFor || checks.Load() < 1 {
		t.Errorf("the complete body arrived after %v and %d pace checks, but the machine is slow for %v", at, checks.Load(), slowFor)
	}
}

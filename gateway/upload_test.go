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

// TestUploadEndsOnASteadyMachine sends a body that takes the entry's link 100 ms
// to a server whose machine is slow when the body has nearly arrived and steady
// 50 ms later. The server must get the end of the body only then, and the whole
// body unchanged.
func TestUploadEndsOnASteadyMachine(t *testing.T) {
	begun := time.Now()
	const slowFor = 150 * time.Millisecond
	var checks atomic.Int32
	var arrived atomic.Int64
	body := strings.Repeat("0123456789", 10_000)
	address := rawServer(t, func(c net.Conn, r *http.Request) {
		pace := 500
		if time.Since(begun) > slowFor {
			pace = 100
		}
		load := fmt.Sprintf("%s: %d\r\n", paceHeader, pace)
		if r.Method == http.MethodGet {
			checks.Add(1)
			answerWith(c, r, http.StatusOK, load, "")
			return
		}
		got, _ := io.ReadAll(r.Body)
		arrived.Store(int64(time.Since(begun)))
		answerWith(c, r, http.StatusOK, "", fmt.Sprint(string(got) == body))
	})
	_, entry := setUp(t, address)
	entry.options.Settings.LinkBytesPerSecond = 1_000_000
	begun = time.Now()
	res, text := entry.send(t, http.MethodPost, "/once/", body)
	if res.StatusCode != http.StatusOK || text != "true" {
		t.Fatalf("status %d, body unchanged: %s", res.StatusCode, text)
	}
	if at := time.Duration(arrived.Load()); at < slowFor || checks.Load() < 1 {
		t.Errorf("the body arrived whole after %v and %d looks, the machine is slow for %v", at, checks.Load(), slowFor)
	}
}

package gateway

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"tanagerbarrow/route"
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

// TestEntrySendsNothingDuringBackoff lets a broker that knows of no pause grant a server
// that has asked this entry for one, in the ways in which servers say so.
func TestEntrySendsNothingDuringBackoff(t *testing.T) {
	const notRun = notRunHeader + ": 1\r\n"
	for name, c := range map[string]struct {
		status int
		header string
		// pauses says that the response asks for a pause.
		pauses bool
	}{
		"refusal":                   {503, notRun + retryHeader + ": 30\r\n", true},
		"fraction":                  {503, notRun + retryHeader + ": 29.5\r\n", true},
		"proves nothing":            {503, retryHeader + ": 30\r\n", true},
		"huge":                      {503, notRun + retryHeader + ": 1e9\r\n", true},
		"zero":                      {503, notRun + retryHeader + ": 0\r\n", false},
		"negative":                  {503, notRun + retryHeader + ": -3\r\n", false},
		"no number":                 {503, notRun + retryHeader + ": soon\r\n", false},
		"absent":                    {503, notRun, false},
		"of another kind":           {500, retryHeader + ": 30\r\n", false},
		"of too many of a caller's": {429, notRun + retryHeader + ": 30\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			var arrivals atomic.Int32
			busy := scriptedServer(t, func(conn net.Conn, r *http.Request) {
				arrivals.Add(1)
				respond(conn, r, c.status, c.header, "")
			})
			ready := scriptedServer(t, func(conn net.Conn, r *http.Request) { respond(conn, r, 200, "", "x") })
			_, e := setUp(t, busy, ready)
			for range 4 {
				if res, _ := e.send(t, http.MethodGet, "/safe/x", ""); res.StatusCode != http.StatusOK {
					t.Errorf("status %d", res.StatusCode)
				}
			}
			want := int32(4)
			if c.pauses {
				want = 1
			}
			if got := arrivals.Load(); got != want {
				t.Errorf("the server got %d requests, want %d", got, want)
			}
		})
	}
}

// TestAloneChoiceHonorsBackoff chooses without a broker while a server, or all servers, want
// no requests of this entry.
func TestAloneChoiceHonorsBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		idle := loadOf{slots: 2, pace: 100}
		chooser := newAloneChooser([]loadOf{idle, idle, idle})
		choose := func() *server {
			s := chooser.choose(t.Context(), "s", &route.Route{}, nil)
			if s != nil {
				chooser.view.finishRequest(s, false, time.Now())
			}
			return s
		}
		chooser.view.backoffs.ask("i-1", 3*time.Second, time.Now())
		for range 30 {
			if s := choose(); s == nil || s.ID == "i-1" {
				t.Fatalf("chose %+v", s)
			}
		}
		chooser.view.backoffs.ask("i-2", 10*time.Second, time.Now())
		chooser.view.backoffs.ask("i-3", 10*time.Second, time.Now())
		if s := choose(); s != nil {
			t.Errorf("chose %+v while all servers pause", s)
		}
		time.Sleep(4 * time.Second)
		if s := choose(); s == nil || s.ID != "i-1" {
			t.Errorf("chose %+v after the first pause has ended", s)
		}
	})
}

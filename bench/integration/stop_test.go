package integration

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tanagerbarrow/bench/cluster"
	"tanagerbarrow/bench/standin"
	"tanagerbarrow/request"
)

// stopCallers is the number of callers; there is a slot for each.
const stopCallers = 16

// trickle is a body that takes its time.
type trickle struct {
	left  int
	pause time.Duration
}

func (b *trickle) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	b.left--
	return copy(p, "tamga"), nil
}

// TestGracefulStopCutsNoRequest stops an entry under load. Every request that
// it took must get its whole answer; a connection that it closed before it read
// a request of it is no cut.
func TestGracefulStopCutsNoRequest(t *testing.T) {
	s := startSystem(t, smallSize)
	var backends []*standin.Server
	for _, zone := range smallSize.ZoneOrder {
		b, err := standin.Start(standin.Options{
			Service: "catalogue", AvailabilityZone: zone, Slots: stopCallers, Generation: 1,
			Entries: s.AdminAddresses(), AnnounceKey: cluster.AnnounceKey,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		backends = append(backends, b)
	}
	s.admit("catalogue")
	stopped := s.Entries[0]
	s.eventually("a backend server answers", func() bool { return len(serversSeen(stopped, 1)) > 0 })
	var whole, unserved atomic.Int64
	var stopping atomic.Bool
	var load sync.WaitGroup
	for caller := range stopCallers {
		load.Go(func() {
			for i := 0; !stopping.Load(); i++ {
				token := fmt.Sprintf("stop-%d-%d", caller, i)
				if !ask(t, stopped, token, caller%4, backends) {
					unserved.Add(1)
					return
				}
				whole.Add(1)
			}
		})
	}
	s.eventually("the load is under way", func() bool { return whole.Load() > 200 })
	process := s.processes[stopped.Name]
	delete(s.processes, stopped.Name)
	if err := process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := process.Wait(); err != nil {
		t.Errorf("the stopped entry ended with %v", err)
	}
	stopping.Store(true)
	load.Wait()
	if cuts := backends[0].Counters().Cut + backends[1].Counters().Cut; cuts > 0 {
		t.Errorf("%d uploads were cut", cuts)
	}
	t.Logf("%d whole answers, %d requests that the stopped entry did not take", whole.Load(), unserved.Load())
}

// ask sends one read, order, upload or slow upload on a connection of its own.
// It returns false if the entry took no connection any more.
func ask(t *testing.T, e cluster.Process, token string, way int, backends []*standin.Server) bool {
	header := http.Header{standin.TokenHeader: {token}, "Connection": {"close"}}
	method, body := http.MethodGet, io.Reader(nil)
	switch way {
	case 1:
		method, body = http.MethodPost, bytes.NewReader([]byte("bronze"))
		header.Set(request.KeyHeader, token)
	case 2:
		method, body = http.MethodPost, bytes.NewReader(make([]byte, 1<<20))
	case 3:
		method, body = http.MethodPost, &trickle{left: 50, pause: time.Millisecond}
	}
	got, err := send(e, method, "/catalogue/bells", header, body)
	if err == nil && got.status == http.StatusOK && got.answer.Token == token {
		return true
	}
	if runs := backends[0].RunCount(token) + backends[1].RunCount(token); runs > 0 {
		t.Errorf("%s was cut: it ran, and its caller got %d %s, %v", token, got.status, got.body, err)
	} else if err == nil {
		t.Errorf("%s got %d %s", token, got.status, got.body)
	}
	return false
}

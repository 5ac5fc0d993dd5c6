package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestStopRefusesRequestsThatWouldOutlastIt guards against requests that come late in a stop, are passed on although
// their servers usually take longer than is left, and are cut. They must be refused as not run.
func TestStopRefusesRequestsThatWouldOutlastIt(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x"} {
		for _, count := range []int{1, 20} {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d to %s, chunked %v", count, path, chunked), func(t *testing.T) {
					t.Parallel()
					w := startStopped(t, 1200*time.Millisecond)
					front := w.listenFor(t, w.serve, w.newGuards().callers)
					form := upload{path: path, bytes: 100, chunked: chunked}
					if status, err := form.send(front.Address()); status != http.StatusOK {
						t.Fatal("a request in calm: ", status, err)
					}
					stopped := make(chan error, 1)
					go func() { stopped <- w.stop(front, nil) }()
					time.Sleep(stoppedGrace/2 - 150*time.Millisecond)
					if served := w.check(t, front.Address(), uploads(count, form)); served != 0 {
						t.Errorf("%d were served, so that the case shows nothing", served)
					}
					if err := <-stopped; err != nil {
						t.Error(err)
					}
				})
			}
		}
	}
}

// TestStopAnswersRequestsAtTheirServers guards against a stop that closes connections without an answer while
// servers are at work. A request that may have run must not be called not run.
func TestStopAnswersRequestsAtTheirServers(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			w := startStopped(t, 5*time.Second)
			front := w.listenFor(t, w.serve, w.newGuards().callers)
			stopped := make(chan error, 1)
			go func() { stopped <- w.stop(front, nil) }()
			u := upload{id: "id-1", path: path, bytes: 100}
			if status, err := u.send(front.Address()); status != http.StatusGatewayTimeout {
				t.Errorf("status %d, %v", status, err)
			}
			if err := <-stopped; err != nil {
				t.Error(err)
			}
		})
	}
}

// TestStopRefusesRequestsWhoseResponsesDontFit guards against responses that are cut by a stop because the link
// can't carry all of them: what can't be answered must be refused before it runs, and the rest arrive whole.
func TestStopRefusesRequestsWhoseResponsesDontFit(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			w := startStoppedWithResponses(t, 100*time.Millisecond, strings.Repeat("w", 100_000))
			front := w.listenFor(t, w.serve, w.newGuards().callers)
			form := upload{path: path, bytes: 100}
			if status, err := form.send(front.Address()); status != http.StatusOK {
				t.Fatal("a request in calm: ", status, err)
			}
			stopped := make(chan error, 1)
			go func() { stopped <- w.stop(front, nil) }()
			time.Sleep(300 * time.Millisecond)
			if served := w.check(t, front.Address(), uploads(12, form)); served == 0 {
				t.Error("none was served")
			}
			if err := <-stopped; err != nil {
				t.Error(err)
			}
		})
	}
}

package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"

	"tanagerbarrow/backend"
)

// sendRequest sends one request and returns the status and the header of the
// response, or 0 and nil if there was none.
func sendRequest(s *Server, header string) (int, http.Header) {
	r, _ := http.NewRequest(http.MethodGet, "http://"+s.Address().String()+"/x", nil)
	if header != "" {
		r.Header.Set(header, "1")
	}
	// Uses a new connection, because the transport resends a request that fails
	// on a reused one.
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Header
}

func newScripted(t *testing.T, script Script) *Server {
	t.Helper()
	s, err := Start(Options{Service: "s", AvailabilityZone: "a", Slots: 2, Generation: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	data, _ := json.Marshal(script)
	res, err := http.Post("http://"+s.Address().String()+ScriptPath, "application/json", bytes.NewReader(data))
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("set the script: %v", err)
	}
	_ = res.Body.Close()
	return s
}

func TestSlotsAreEnforced(t *testing.T) {
	s := newScripted(t, Script{ServiceMillis: 5})
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			if status, _ := sendRequest(s, ""); status != http.StatusOK {
				t.Errorf("got status %d", status)
			}
		})
	}
	wg.Wait()
	if got := s.Counters(); got.Peak != 2 || got.Ran != 20 || len(s.Records()) != 20 {
		t.Errorf("got %+v", got)
	}
}

func TestScriptedBehaviours(t *testing.T) {
	for name, c := range map[string]struct {
		script Script
		header string
		status int
		want   func(h http.Header) bool
	}{
		"fail fast": {Script{FailFast: true}, "", http.StatusInternalServerError, nil},
		"cold":      {Script{ColdMillis: 1 << 40}, "", http.StatusOK, nil},
		"draining": {
			Script{Draining: true},
			"", http.StatusOK,
			func(h http.Header) bool { return h.Get(backend.StateHeader) == "leaving" },
		},
		"lying":   {Script{ReportLoad: 0.01}, "", http.StatusOK, func(h http.Header) bool { return h.Get(LoadHeader) == "0.01" }},
		"crash":   {Script{CrashOnHeader: true}, CrashHeader, 0, nil},
		"no mark": {Script{CrashOnHeader: true}, "", http.StatusOK, nil},
	} {
		t.Run(name, func(t *testing.T) {
			status, header := sendRequest(newScripted(t, c.script), c.header)
			if status != c.status || (c.want != nil && !c.want(header)) {
				t.Errorf("got status %d, header %v", status, header)
			}
		})
	}
}

func TestSheddingAndSilence(t *testing.T) {
	s := newScripted(t, Script{Silent: true})
	done := make(chan int)
	go func() {
		status, _ := sendRequest(s, "")
		done <- status
	}()
	for s.Counters().Arrived == 0 {
		select {
		case <-done:
			t.Fatal("a silent stand-in answered")
		default:
		}
	}
	s.SetScript(Script{})
	if status := <-done; status != 0 {
		t.Errorf("the silent connection ended with status %d", status)
	}
	s.mu.Lock()
	s.running = 2
	s.script.ShedBeyond = 2
	s.mu.Unlock()
	status, header := sendRequest(s, "")
	if status != http.StatusServiceUnavailable || header.Get(backend.RefusedHeader) == "" {
		t.Errorf("got status %d, header %v, want a refusal", status, header)
	}
}

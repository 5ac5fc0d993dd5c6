package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"tanagerbarrow/membership"
)

// The routes that control a stand-in over HTTP.
const (
	// ScriptPath accepts a POST whose body is the new [Script].
	ScriptPath = "/_standin/script"
	// CountersPath returns the [Counters] on a GET.
	CountersPath = "/_standin/counters"
	// LeavePath accepts a POST that makes the stand-in announce its leaving.
	LeavePath = "/_standin/leave"
)

// CrashHeader marks a request that crashes a stand-in whose script sets
// CrashOnHeader.
const CrashHeader = "Test-Crash"

// LoadHeader carries the load that a stand-in reports with each response, as
// requests in progress or queued per slot.
const LoadHeader = "Tanagerbarrow-Load"

// Script configures the behavior of a stand-in. With the zero value it responds
// without delay.
type Script struct {
	// ServiceMillis is the service time of a request, in milliseconds.
	ServiceMillis int64 `json:"service_ms,omitempty"`
	// StragglePercent scales the service time: at 800, requests take 8 times as
	// long. Zero means 100.
	StragglePercent int64 `json:"straggle_percent,omitempty"`
	// Unlimited lets any number of requests run at once; otherwise requests
	// beyond the number of slots are queued in order of arrival.
	Unlimited bool `json:"unlimited,omitempty"`
	// ShedBeyond is the number of requests in progress or queued at which the
	// stand-in refuses further ones with the refusal header; zero means never.
	ShedBeyond int `json:"shed_beyond,omitempty"`
	// ColdMillis is the duration of the cold start, in milliseconds, from the
	// start of the stand-in or from the time the script was set. The number of
	// usable slots grows linearly from one to all; requests beyond them fail
	// with status 500.
	ColdMillis int64 `json:"cold_ms,omitempty"`
	// FailFast answers every request immediately with status 500.
	FailFast bool `json:"fail_fast,omitempty"`
	// Silent accepts requests and leaves them unanswered until the script
	// changes.
	Silent bool `json:"silent,omitempty"`
	// SilentOnOpenConnections is like Silent, but only for connections accepted
	// before the script was set; new ones work.
	SilentOnOpenConnections bool `json:"silent_open,omitempty"`
	// Draining reports the state leaving in the header of responses, without an
	// announcement.
	Draining bool `json:"draining,omitempty"`
	// CrashOnHeader closes the stand-in abruptly, as a crash would, when a
	// request with CrashHeader arrives.
	CrashOnHeader bool `json:"crash_on_mark,omitempty"`
	// ReportLoad is the load to report, whatever the actual load is. If it is
	// negative, the actual load is reported; if it is zero, none is.
	ReportLoad float64 `json:"report_load,omitempty"`
}

// serviceTime returns the service time of a request.
func (s *Script) serviceTime() time.Duration {
	percent := s.StragglePercent
	if percent == 0 {
		percent = 100
	}
	return time.Duration(s.ServiceMillis*percent) * time.Millisecond / 100
}

// slotsWhileCold returns the number of usable slots at the given time after the
// beginning of the cold start.
func (s *Script) slotsWhileCold(slots int, after time.Duration) int {
	cold := time.Duration(s.ColdMillis) * time.Millisecond
	if after >= cold {
		return slots
	}
	return 1 + int(int64(slots-1)*int64(after)/int64(cold))
}

// RequestRecord describes one request that a stand-in received.
type RequestRecord struct {
	// Token is the request's [TokenHeader].
	Token string `json:"token"`
	// Arrived, Started and Finished are the times at which it arrived, began to
	// run and was answered; the last two are zero if that did not happen.
	Arrived  time.Time `json:"arrived"`
	Started  time.Time `json:"started"`
	Finished time.Time `json:"finished"`
	// Refused reports that it was refused and did not run.
	Refused bool `json:"refused,omitempty"`
}

// Counters counts the requests of a stand-in.
type Counters struct {
	// Arrived, Ran, Refused and Failed count requests.
	Arrived int `json:"arrived"`
	Ran     int `json:"ran"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Cut counts request bodies that ended early.
	Cut int `json:"cut"`
	// Peak is the largest number of requests that ran at once.
	Peak int `json:"peak"`
	// LastArrival is the arrival time of the last request.
	LastArrival time.Time `json:"last_arrival"`
}

// SetScript replaces the script and restarts the cold start if it has one.
func (s *Server) SetScript(script Script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if script.ColdMillis > 0 {
		s.coldSince = time.Now()
	}
	s.script = script
	s.connectionsAtScript = s.connections
	close(s.scriptChanged)
	s.scriptChanged = make(chan struct{})
	s.admitWaiting()
}

// Script returns the current script.
func (s *Server) Script() Script {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.script
}

// Counters returns a copy of the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// ArrivalsSince returns the number of recorded requests that arrived after t.
func (s *Server) ArrivalsSince(t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.records {
		if r.Arrived.After(t) {
			n++
		}
	}
	return n
}

// Records returns a copy of the recorded requests, at most the first million.
func (s *Server) Records() []RequestRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]RequestRecord, len(s.records))
	for i, r := range s.records {
		all[i] = *r
	}
	return all
}

// RunCount returns the number of times the request with the token ran.
func (s *Server) RunCount(token string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCounts[token]
}

// SetState changes the announced state and triggers an announcement.
func (s *Server) SetState(state membership.State) {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	select {
	case s.announceNow <- struct{}{}:
	default:
	}
}

// Leave announces the state leaving; the stand-in keeps serving until it is
// closed.
func (s *Server) Leave() { s.SetState(membership.Leaving) }

// registerControlRoutes registers the routes that control the stand-in.
func (s *Server) registerControlRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST "+ScriptPath, func(w http.ResponseWriter, r *http.Request) {
		var script Script
		if err := json.NewDecoder(r.Body).Decode(&script); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetScript(script)
	})
	mux.HandleFunc("GET "+CountersPath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Counters())
	})
	mux.HandleFunc("POST "+LeavePath, func(http.ResponseWriter, *http.Request) { s.Leave() })
}

package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"tanagerbarrow/membership"
)

// The routes that control a stand-in over HTTP.
const (
	// ScriptPath takes a [Script] by POST.
	ScriptPath = "/_standin/script"
	// CountersPath answers with [Counters].
	CountersPath = "/_standin/counters"
	// LeavePath makes the stand-in leave, by POST.
	LeavePath = "/_standin/leave"
)

// CrashHeader marks a request on which a scripted stand-in crashes.
const CrashHeader = "Test-Crash"

// LoadHeader is the load that a stand-in reports with each answer, in requests
// in progress for each slot.
const LoadHeader = "Tanagerbarrow-Load"

// Script is how a stand-in behaves. The zero value answers as fast as it can.
type Script struct {
	// ServiceMillis is how long a request takes, in milliseconds.
	ServiceMillis int64 `json:"service_ms,omitempty"`
	// StragglePercent slows requests down: 800 makes them take 8 times as long.
	// Zero means 100.
	StragglePercent int64 `json:"straggle_percent,omitempty"`
	// Unlimited lets any number of requests run at once; otherwise those beyond
	// the slots wait in order of arrival.
	Unlimited bool `json:"unlimited,omitempty"`
	// ShedBeyond refuses requests, with the refusal header, while as many are in
	// progress or waiting; zero means never.
	ShedBeyond int `json:"shed_beyond,omitempty"`
	// ColdMillis is how long after its start, or after this script, a stand-in
	// is cold: it begins with one slot and gains the others evenly. Requests
	// beyond the slots that it has then fail with status 500.
	ColdMillis int64 `json:"cold_ms,omitempty"`
	// FailFast answers every request at once with status 500.
	FailFast bool `json:"fail_fast,omitempty"`
	// Silent takes requests and never answers, until the script changes.
	Silent bool `json:"silent,omitempty"`
	// SilentOpen is like Silent for connections that were open when the script
	// came, while new ones work.
	SilentOpen bool `json:"silent_open,omitempty"`
	// Draining marks answers with the state leaving, without an announcement.
	Draining bool `json:"draining,omitempty"`
	// CrashOnMark ends the whole stand-in, as a crash would, when a request with
	// CrashHeader comes.
	CrashOnMark bool `json:"crash_on_mark,omitempty"`
	// ReportLoad is the load to report, true or not; negative reports the truth
	// and zero nothing.
	ReportLoad float64 `json:"report_load,omitempty"`
}

// serviceTime returns how long a request takes.
func (s *Script) serviceTime() time.Duration {
	percent := s.StragglePercent
	if percent == 0 {
		percent = 100
	}
	return time.Duration(s.ServiceMillis*percent) * time.Millisecond / 100
}

// coldSlots returns the slots that a cold stand-in has after a time.
func (s *Script) coldSlots(slots int, after time.Duration) int {
	cold := time.Duration(s.ColdMillis) * time.Millisecond
	if after >= cold {
		return slots
	}
	return 1 + int(int64(slots-1)*int64(after)/int64(cold))
}

// RequestRecord is one request that a stand-in worked on.
type RequestRecord struct {
	// Token is the request's [TokenHeader].
	Token string `json:"token"`
	// Arrived, Started and Finished are when it came, got a slot and was
	// answered; the last two are zero if that did not happen.
	Arrived  time.Time `json:"arrived"`
	Started  time.Time `json:"started"`
	Finished time.Time `json:"finished"`
	// Refused says that it was refused and did not run.
	Refused bool `json:"refused,omitempty"`
}

// Counters say what a stand-in did.
type Counters struct {
	// Arrived, Ran, Refused and Failed count requests.
	Arrived int `json:"arrived"`
	Ran     int `json:"ran"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Cut counts bodies that ended early.
	Cut int `json:"cut"`
	// Peak is the most requests that ran at once.
	Peak int `json:"peak"`
	// LastArrival is when the last request came.
	LastArrival time.Time `json:"last_arrival"`
}

// SetScript changes how the stand-in behaves.
func (s *Server) SetScript(script Script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if script.ColdMillis > 0 {
		s.coldSince = time.Now()
	}
	s.script = script
	s.opened = s.connections
	close(s.changed)
	s.changed = make(chan struct{})
	s.admitWaiting()
}

// Script returns how the stand-in behaves.
func (s *Server) Script() Script {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.script
}

// Counters returns what the stand-in did so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// ArrivalsSince returns how many requests came after a time.
func (s *Server) ArrivalsSince(t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.log {
		if r.Arrived.After(t) {
			n++
		}
	}
	return n
}

// Records returns the requests so far, at most the first million.
func (s *Server) Records() []RequestRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]RequestRecord, len(s.log))
	for i, r := range s.log {
		all[i] = *r
	}
	return all
}

// RunCount returns how often the request with the token ran.
func (s *Server) RunCount(token string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[token]
}

// SetState changes the announced state and announces it at once.
func (s *Server) SetState(state membership.State) {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Leave announces that the stand-in leaves; it serves on until it is closed.
func (s *Server) Leave() { s.SetState(membership.Leaving) }

// control serves the control routes.
func (s *Server) control(mux *http.ServeMux) {
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

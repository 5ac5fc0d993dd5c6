package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"tanagerbarrow/backend"
)

// admission is what becomes of a request on arrival.
type admission int

// The admissions.
const (
	admitted admission = iota
	queued
	shed
	overwhelmed
)

// serve answers with a JSON object that names the server, the token and the
// SHA-256 of the body, unless the script says otherwise.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	run := &RequestRecord{Token: r.Header.Get(TokenHeader), Arrived: time.Now()}
	script, silence := s.arrive(r, run)
	switch {
	case script.CrashOnMark && r.Header.Get(CrashHeader) != "":
		s.note(run.Token, run)
		s.Close()
		panic(http.ErrAbortHandler)
	case silence != nil:
		hang(r, silence)
	case script.FailFast:
		s.fail(w)
		return
	}
	how, turn := s.admit(&script)
	switch how {
	case shed:
		s.refuse(w, &script, run)
		return
	case overwhelmed:
		s.fail(w)
		return
	case queued:
		select {
		case <-turn:
		case <-r.Context().Done():
			s.giveUp(turn)
			panic(http.ErrAbortHandler)
		}
	}
	defer s.release()
	s.work(w, r, run)
}

// arrive counts a request and returns the script. For a request that shall not
// be answered it returns a channel that is closed when the script changes.
func (s *Server) arrive(r *http.Request, run *RequestRecord) (script Script, silence chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Arrived++
	s.counters.LastArrival = run.Arrived
	if len(s.log) < maxLog {
		s.log = append(s.log, run)
	}
	number, _ := r.Context().Value(connectionKey{}).(int)
	if s.script.Silent || (s.script.SilentOpen && number <= s.opened) {
		silence = s.changed
	}
	return s.script, silence
}

// hang waits until the script changes or the caller goes, and then cuts the
// connection.
func hang(r *http.Request, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// slots returns how many requests may run now; the caller holds the lock.
func (s *Server) slots() int {
	return s.script.coldSlots(s.options.Slots, time.Since(s.coldSince))
}

// admit gives a request a slot, or a place in the line.
func (s *Server) admit(script *Script) (admission, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots := s.slots()
	switch {
	case script.ShedBeyond > 0 && s.running+len(s.waiting) >= script.ShedBeyond:
		return shed, nil
	case slots < s.options.Slots && s.running >= slots:
		return overwhelmed, nil
	case script.Unlimited || s.running < slots:
		s.occupy()
		return admitted, nil
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	return queued, turn
}

// occupy takes a slot; the caller holds the lock.
func (s *Server) occupy() {
	s.running++
	s.counters.Peak = max(s.counters.Peak, s.running)
}

// release frees a slot.
func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.admitWaiting()
}

// admitWaiting gives free slots to those that wait; the caller holds the lock.
func (s *Server) admitWaiting() {
	for len(s.waiting) > 0 && (s.script.Unlimited || s.running < s.slots()) {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		s.occupy()
	}
}

// giveUp takes a request out of the line, or frees its slot if it got one.
func (s *Server) giveUp(turn chan struct{}) {
	s.mu.Lock()
	for i, w := range s.waiting {
		if w == turn {
			s.waiting = append(s.waiting[:i:i], s.waiting[i+1:]...)
			s.mu.Unlock()
			return
		}
	}
	s.mu.Unlock()
	s.release()
}

// work runs a request and answers it.
func (s *Server) work(w http.ResponseWriter, r *http.Request, run *RequestRecord) {
	sum := sha256.New()
	size, err := io.Copy(sum, r.Body)
	if err != nil {
		s.mu.Lock()
		s.counters.Cut++
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	s.note(run.Token, run)
	script := s.Script()
	time.Sleep(script.serviceTime())
	s.report(w, &script)
	w.Header().Set(TokenHeader, run.Token)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{
		Server: s.Address().String(), Method: r.Method, Path: r.URL.Path, Token: run.Token,
		Bytes: size, SHA256: hex.EncodeToString(sum.Sum(nil)),
	})
	s.mu.Lock()
	run.Finished = time.Now()
	s.mu.Unlock()
}

// note notes that a request runs.
func (s *Server) note(token string, run *RequestRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Started = time.Now()
	s.runs[token]++
	s.counters.Ran++
}

// report sets the headers by which the stand-in tells of itself.
func (s *Server) report(w http.ResponseWriter, script *Script) {
	if script.Draining {
		w.Header().Set(backend.StateHeader, "leaving")
	}
	load := script.ReportLoad
	if load < 0 {
		s.mu.Lock()
		load = float64(s.running+len(s.waiting)) / float64(s.options.Slots)
		s.mu.Unlock()
	}
	if load > 0 {
		w.Header().Set(LoadHeader, strconv.FormatFloat(load, 'f', 2, 64))
	}
}

// refuse answers that the request did not run.
func (s *Server) refuse(w http.ResponseWriter, script *Script, run *RequestRecord) {
	s.mu.Lock()
	run.Refused = true
	s.counters.Refused++
	s.mu.Unlock()
	s.report(w, script)
	w.Header().Set(backend.RefusedHeader, "overloaded")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// fail answers with a server error.
func (s *Server) fail(w http.ResponseWriter) {
	s.mu.Lock()
	s.counters.Failed++
	s.mu.Unlock()
	w.WriteHeader(http.StatusInternalServerError)
}

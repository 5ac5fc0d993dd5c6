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

// admission is the decision about a request on arrival.
type admission int

// The admission decisions.
const (
	admitted admission = iota
	queued
	shed
	rejectedWhileCold
)

// serve responds with an [Answer], a JSON object with the server, the token and
// the SHA-256 of the request body, unless the script makes it behave otherwise.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	record := &RequestRecord{Token: r.Header.Get(TokenHeader), Arrived: time.Now()}
	script, silenced := s.recordArrival(r, record)
	switch {
	case script.CrashOnHeader && r.Header.Get(CrashHeader) != "":
		s.recordStart(record.Token, record)
		s.Close()
		panic(http.ErrAbortHandler)
	case silenced != nil:
		waitAndAbort(r, silenced)
	case script.FailFast:
		s.fail(w)
		return
	}
	decision, ready := s.admit(&script)
	switch decision {
	case shed:
		s.refuse(w, &script, record)
		return
	case rejectedWhileCold:
		s.fail(w)
		return
	case queued:
		select {
		case <-ready:
		case <-r.Context().Done():
			s.cancelAdmission(ready)
			panic(http.ErrAbortHandler)
		}
	}
	defer s.releaseSlot()
	s.process(w, r, record)
}

// recordArrival records a request and returns the script. For a request that
// is to stay unanswered it also returns a channel that is closed when the script
// changes.
func (s *Server) recordArrival(r *http.Request, record *RequestRecord) (script Script, silenced chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Arrived++
	s.counters.LastArrival = record.Arrived
	if len(s.records) < maxRecords {
		s.records = append(s.records, record)
	}
	number, _ := r.Context().Value(connectionKey{}).(int)
	if s.script.Silent || (s.script.SilentOnOpenConnections && number <= s.connectionsAtScript) {
		silenced = s.scriptChanged
	}
	return s.script, silenced
}

// waitAndAbort waits until the script changes or the caller disconnects, and
// then aborts the connection.
func waitAndAbort(r *http.Request, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// slots returns the number of usable slots. The caller must hold s.mu.
func (s *Server) slots() int {
	return s.script.slotsWhileCold(s.options.Slots, time.Since(s.coldSince))
}

// admit assigns a slot to a request, queues it or rejects it. For a queued
// request it returns a channel that is closed once a slot is assigned.
func (s *Server) admit(script *Script) (admission, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots := s.slots()
	switch {
	case script.ShedBeyond > 0 && s.running+len(s.queue) >= script.ShedBeyond:
		return shed, nil
	case slots < s.options.Slots && s.running >= slots:
		return rejectedWhileCold, nil
	case script.Unlimited || s.running < slots:
		s.takeSlot()
		return admitted, nil
	}
	ready := make(chan struct{})
	s.queue = append(s.queue, ready)
	return queued, ready
}

// takeSlot occupies a slot. The caller must hold s.mu.
func (s *Server) takeSlot() {
	s.running++
	s.counters.Peak = max(s.counters.Peak, s.running)
}

// releaseSlot frees a slot and admits queued requests.
func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.admitWaiting()
}

// admitWaiting assigns free slots to queued requests. The caller must hold s.mu.
func (s *Server) admitWaiting() {
	for len(s.queue) > 0 && (s.script.Unlimited || s.running < s.slots()) {
		close(s.queue[0])
		s.queue = s.queue[1:]
		s.takeSlot()
	}
}

// cancelAdmission removes a request from the queue, or frees its slot if it
// already has one.
func (s *Server) cancelAdmission(ready chan struct{}) {
	s.mu.Lock()
	for i, w := range s.queue {
		if w == ready {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			s.mu.Unlock()
			return
		}
	}
	s.mu.Unlock()
	s.releaseSlot()
}

// process reads the body of a request, waits for the service time and responds.
func (s *Server) process(w http.ResponseWriter, r *http.Request, record *RequestRecord) {
	sum := sha256.New()
	size, err := io.Copy(sum, r.Body)
	if err != nil {
		s.mu.Lock()
		s.counters.Cut++
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	s.recordStart(record.Token, record)
	script := s.Script()
	time.Sleep(script.serviceTime())
	s.setStatusHeaders(w, &script)
	w.Header().Set(TokenHeader, record.Token)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{
		Server: s.Address().String(), Method: r.Method, Path: r.URL.Path, Token: record.Token,
		Bytes: size, SHA256: hex.EncodeToString(sum.Sum(nil)),
	})
	s.mu.Lock()
	record.Finished = time.Now()
	s.mu.Unlock()
}

// recordStart records that a request runs.
func (s *Server) recordStart(token string, record *RequestRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record.Started = time.Now()
	s.runCounts[token]++
	s.counters.Ran++
}

// setStatusHeaders sets the response headers that report state and load.
func (s *Server) setStatusHeaders(w http.ResponseWriter, script *Script) {
	if script.Draining {
		w.Header().Set(backend.StateHeader, "leaving")
	}
	load := script.ReportLoad
	if load < 0 {
		s.mu.Lock()
		load = float64(s.running+len(s.queue)) / float64(s.options.Slots)
		s.mu.Unlock()
	}
	if load > 0 {
		w.Header().Set(LoadHeader, strconv.FormatFloat(load, 'f', 2, 64))
	}
}

// refuse responds with the refusal header: the request did not run.
func (s *Server) refuse(w http.ResponseWriter, script *Script, record *RequestRecord) {
	s.mu.Lock()
	record.Refused = true
	s.counters.Refused++
	s.mu.Unlock()
	s.setStatusHeaders(w, script)
	w.Header().Set(backend.RefusedHeader, "overloaded")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// fail responds with status 500.
func (s *Server) fail(w http.ResponseWriter) {
	s.mu.Lock()
	s.counters.Failed++
	s.mu.Unlock()
	w.WriteHeader(http.StatusInternalServerError)
}

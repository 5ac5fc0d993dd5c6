package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is one start of a backend server.
type server struct {
	w                          *world
	id, service, zone, address string
	born                       int64
	// firstControl is the control host that it calls first.
	firstControl int
	work         time.Duration
	coldUntil    time.Time
	// onRun is called when a request begins to run.
	onRun func(s *server, r *http.Request, body []byte, at time.Time)
	// handler answers requests and health checks; nil for the usual one.
	handler http.Handler

	listener net.Listener
	http     *http.Server
	slots    chan struct{}
	waiting  atomic.Int32
	sequence atomic.Uint64
	stop     chan struct{}
	stopOnce sync.Once

	mu      sync.Mutex
	next    string
	leaving bool
}

// The size of a backend server.
const (
	serverSlots = 2
	serverQueue = 4
)

// startServer starts a backend server: it listens and checks in every 1.5 s.
func (w *world) startServer(s *server) error {
	s.w, s.slots, s.stop, s.born = w, make(chan struct{}, serverSlots), make(chan struct{}), time.Now().UnixMilli()
	var err error
	for range 20 {
		if s.listener, err = net.Listen("tcp", s.address); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	if s.handler == nil {
		s.handler = http.HandlerFunc(s.handle)
	}
	s.http = &http.Server{Handler: s.handler, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(s.listener) }()
	go s.checkIn()
	w.onClose(s.crash)
	w.note("server %s (%s) starts at %s, born %d", s.id, s.service, s.address, s.born)
	return nil
}

// crash ends the server at once: connections break, and it says nothing.
func (s *server) crash() {
	s.stopOnce.Do(func() {
		close(s.stop)
		_ = s.http.Close()
	})
}

// gone reports whether the server has ended.
func (s *server) gone() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// load is the value of the header Server-Load.
func (s *server) load() string {
	return fmt.Sprintf("%d,%d,%d", len(s.slots), s.waiting.Load(), serverSlots)
}

func (s *server) cold() time.Duration { return max(0, time.Until(s.coldUntil)) }

// handle answers a request or a health check.
func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	if r.RequestURI == "/health" {
		s.health(w, r)
		return
	}
	s.serve(w, r)
}

// health answers the health check.
func (s *server) health(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Instance-Id", s.id)
	h.Set("Server-Load", s.load())
	h.Set("Cold-Milliseconds", fmt.Sprint(s.cold().Milliseconds()))
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.leaves() {
		h.Set("Server-Leaving", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// leaves reports whether the server has said that it leaves. It says so in all its answers then.
func (s *server) leaves() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// serve runs a request in a slot.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Server-Load", s.load())
	h.Set("Keep-Alive", "timeout=10")
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		h.Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if int(s.waiting.Add(1)) > serverQueue {
		s.waiting.Add(-1)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.slots <- struct{}{}:
		s.waiting.Add(-1)
	case <-r.Context().Done():
		s.waiting.Add(-1)
		return
	}
	defer func() { <-s.slots }()
	if s.onRun != nil {
		s.onRun(s, r, body, time.Now())
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.w.note("server %s drops %s: its connection was closed", s.id, id)
		return
	}
	if s.leaves() {
		h.Set("Server-Leaving", "1")
	}
	h.Set("Response-Signature", "sig-"+id)
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, "answer to "+id)
}

// checkIn sends heartbeats until the server ends or leaves.
func (s *server) checkIn() {
	for n := 0; ; {
		s.mu.Lock()
		next, leaving := s.next, s.leaving
		s.mu.Unlock()
		if leaving {
			return
		}
		address := next
		if address == "" {
			address = s.w.control(s.firstControl + n)
		}
		body, _ := json.Marshal(map[string]any{
			"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": serverSlots, "state": "ready",
			"coldRemainingMs": s.cold().Milliseconds(), "sequence": s.sequence.Add(1), "born": s.born,
		})
		status, content, err := call(address, "call=instances.heartbeat&of="+s.id, body)
		if err != nil || status != http.StatusOK {
			n++
			s.mu.Lock()
			s.next = ""
			s.mu.Unlock()
			if !s.sleep(50 * time.Millisecond) {
				return
			}
			continue
		}
		var answer struct {
			HeartbeatAddress string `json:"heartbeatAddress"`
		}
		_ = json.Unmarshal(content, &answer)
		s.w.note("server %s (born %d) checks in at %s, is told %q", s.id, s.born, address, answer.HeartbeatAddress)
		if answer.HeartbeatAddress != "" {
			s.mu.Lock()
			s.next = answer.HeartbeatAddress
			s.mu.Unlock()
		}
		if !s.sleep(1500 * time.Millisecond) {
			return
		}
	}
}

// sleep waits, and reports whether the server still runs.
func (s *server) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.stop:
		return false
	}
}

// deregister says that the server leaves, to one control host after the other from first on,
// and returns the time of the acknowledgement.
func (s *server) deregister(first int) (time.Time, error) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	for n := first; ctx.Err() == nil; n++ {
		status, _, err := call(s.w.control(n), "call=instances.deregister&of="+s.id, nil)
		if err == nil && status >= 200 && status < 300 {
			s.w.note("server %s (born %d) deregisters: acknowledged by %s", s.id, s.born, s.w.control(n))
			return time.Now(), nil
		}
		s.w.note("server %s deregisters at %s: %d %v", s.id, s.w.control(n), status, err)
		time.Sleep(50 * time.Millisecond)
	}
	return time.Time{}, ctx.Err()
}

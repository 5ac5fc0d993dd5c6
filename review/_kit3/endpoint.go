package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that an endpoint has run.
type run struct {
	server, service, method, target, host, bodySum string
	bodyLen                                        int
	at                                             time.Time
}

// runs are the requests that all endpoints have run, by their identifiers.
type runs struct {
	mu   sync.Mutex
	byID map[string][]run
}

func (r *runs) add(id string, one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = append(r.byID[id], one)
}

func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.byID[id]...)
}

// endpoint is a sound stand-in of an endpoint.
type endpoint struct {
	d                 *deployment
	id, service, zone string
	slots             int
	listener          net.Listener
	born              int64
	sequence          atomic.Uint64
	running           atomic.Int32
	work              time.Duration
	runs              *runs
	rec               *record
	done              chan struct{}
	draining          atomic.Bool
	// before, if set, may answer a request in place of the endpoint.
	before func(w http.ResponseWriter, r *http.Request) bool
}

// newEndpoint starts an endpoint and its check-ins.
func newEndpoint(d *deployment, n int, service, zone string, work time.Duration, all *runs) (*endpoint, error) {
	e := &endpoint{
		d: d, id: fmt.Sprintf("i-%s%d", service, n), service: service, zone: zone, slots: 4, work: work, runs: all, rec: d.rec,
		born: time.Now().UnixMilli(), done: make(chan struct{}),
	}
	var err error
	if e.listener, err = net.Listen("tcp", fmt.Sprintf("%s%d:0", d.prefix, 100+n)); err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(e.listener, e) }()
	go e.checkIn()
	return e, nil
}

// checkIn sends check-ins until the endpoint ends.
func (e *endpoint) checkIn() {
	for n := 0; ; n++ {
		if !e.draining.Load() {
			body := e.beat("ready")
			for try := range 3 {
				if status, _ := e.d.call(e.d.control[(n+try)%len(e.d.control)], "instances.heartbeat&of="+e.id, body); status == http.StatusOK {
					break
				}
			}
		}
		select {
		case <-e.done:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func (e *endpoint) beat(state string) []byte {
	return mustJSON(map[string]any{
		"service": e.service, "address": e.listener.Addr().String(), "zone": e.zone, "version": "v1", "slots": e.slots,
		"state": state, "coldRemainingMs": 0, "sequence": e.sequence.Add(1), "born": e.born,
	})
}

// ServeHTTP runs a request as the pages say.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d,100", e.running.Load(), e.slots))
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", e.id)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.before != nil && e.before(w, r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if int(e.running.Add(1)) > e.slots {
		e.running.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	sum := fmt.Sprintf("%x", sha256.Sum256(body))
	e.runs.add(id, run{server: e.id, service: e.service, method: r.Method, target: r.RequestURI, host: r.Host, bodySum: sum, bodyLen: len(body), at: time.Now()})
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
	}
	w.Header().Set("Response-Signature", e.id+"."+id)
	_, _ = io.WriteString(w, answerOf(id, r.RequestURI, sum))
}

// answerOf is the whole body of the answer to a request.
func answerOf(id, target, bodySum string) string {
	return fmt.Sprintf("ran %s %s %s", id, target, bodySum)
}

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one execution of a request at an endpoint.
type run struct {
	id, method, target, endpoint, zone string
	body                               int
	at                                 time.Time
}

// runLog holds all runs of a case.
type runLog struct {
	mu   sync.Mutex
	runs []run
}

// add records a run.
func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// all returns the runs so far.
func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// endpoint is a stand-in backend server. It speaks HTTP/1.1 on raw connections, so that
// a case can choose each byte that it sends.
type endpoint struct {
	w                 *world
	log               *runLog
	id, service, zone string
	address           string
	slots             int
	// work is how long a request takes.
	work func() time.Duration
	// tellsLoad says that answers carry Server-Load.
	tellsLoad bool
	// extra says that a second copy of an answer is sent late, at the point where the next
	// answer on the connection is expected. It is asked once for each answer.
	extra    func(health bool) bool
	running  atomic.Int32
	waiting  atomic.Int32
	free     chan struct{}
	sequence atomic.Uint64
	born     int64
	listener net.Listener
	ended    chan struct{}
}

// startEndpoint starts an endpoint on a free port and its check-ins.
func startEndpoint(w *world, log *runLog, id, service, zone string, slots int, work func() time.Duration) *endpoint {
	e := &endpoint{w: w, log: log, id: id, service: service, zone: zone, slots: slots, work: work, ended: make(chan struct{}), free: make(chan struct{}, slots)}
	host := map[string]int{"za": 100, "zb": 101, "zc": 102}[zone]
	var err error
	if e.listener, err = net.Listen("tcp", fmt.Sprintf("%s%d:0", w.net, host)); err != nil {
		cannotRun("listen for endpoint %s: %v", id, err)
	}
	e.address, e.born = e.listener.Addr().String(), time.Now().UnixMilli()
	w.record.say("endpoint %s of %s starts in %s at %s", id, service, zone, e.address)
	go e.accept()
	return e
}

// accept serves connections until the endpoint ends.
func (e *endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

// signature returns the Response-Signature of an answer.
func signature(id, endpoint string, body []byte) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id + "/" + endpoint + "/"))
	_, _ = h.Write(body)
	return fmt.Sprintf("%x", h.Sum64())
}

// serve answers the requests of one connection.
func (e *endpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	var late []byte
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if late != nil {
			e.w.record.say("endpoint %s sends a second copy of its last answer on %s, where the answer to %s %s %s is due",
				e.id, c.RemoteAddr(), r.Method, r.RequestURI, r.Header.Get("Request-Id"))
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		answer := e.answer(r, body)
		if _, err := c.Write(answer); err != nil {
			return
		}
		if e.extra != nil && e.extra(r.URL.Path == "/health") {
			late = bytes.Clone(answer)
		}
	}
}

// answer runs a request and returns the bytes of the answer.
func (e *endpoint) answer(r *http.Request, body []byte) []byte {
	id := r.Header.Get("Request-Id")
	h := http.Header{}
	if id != "" {
		h.Set("Request-Id", id)
	}
	if e.tellsLoad {
		h.Set("Server-Load", fmt.Sprintf("%d,0,%d,100", e.running.Load(), e.slots))
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != e.id {
		return encodeAnswer(http.StatusMisdirectedRequest, h, nil)
	}
	health := r.URL.Path == "/health"
	if health {
		h.Set("Instance-Id", e.id)
	}
	if health && e.tellsLoad {
		return encodeAnswer(http.StatusOK, h, nil)
	}
	if !e.takeSlot() {
		h.Set("Not-Executed", "1")
		return encodeAnswer(http.StatusServiceUnavailable, h, nil)
	}
	defer e.freeSlot()
	if health {
		return encodeAnswer(http.StatusOK, h, nil)
	}
	e.log.add(run{id: id, method: r.Method, target: r.RequestURI, endpoint: e.id, zone: e.zone, body: len(body), at: time.Now()})
	e.w.record.say("endpoint %s runs %s %s %s", e.id, r.Method, r.RequestURI, id)
	time.Sleep(e.work())
	text := []byte(fmt.Sprintf("answer of %s to %s %s %s, %d bytes", e.id, id, r.Method, r.RequestURI, len(body)))
	h.Set("Response-Signature", signature(id, e.id, text))
	return encodeAnswer(http.StatusOK, h, text)
}

// queueLength is how many requests and health checks an endpoint lets wait for a slot.
const queueLength = 2

// takeSlot waits for a slot. It returns false if the queue is full.
func (e *endpoint) takeSlot() bool {
	select {
	case e.free <- struct{}{}:
	default:
		if e.waiting.Add(1) > queueLength {
			e.waiting.Add(-1)
			return false
		}
		e.free <- struct{}{}
		e.waiting.Add(-1)
	}
	e.running.Add(1)
	return true
}

// freeSlot gives a slot back.
func (e *endpoint) freeSlot() {
	e.running.Add(-1)
	<-e.free
}

// encodeAnswer returns the bytes of an answer with a length.
func encodeAnswer(status int, h http.Header, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	h.Set("Content-Length", fmt.Sprint(len(body)))
	_ = h.Write(&b)
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// beat sends check-ins until the endpoint ends: to the address that the last answer
// named, and after a failure to another machine.
func (e *endpoint) beat(state string) {
	client := &http.Client{Timeout: time.Second}
	address := ""
	for {
		if address == "" {
			controls := e.w.ofRole("coordinator")
			address = e.w.control(controls[rand.IntN(len(controls))])
		}
		body, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots,
			"state": state, "coldRemainingMs": 0, "sequence": e.sequence.Add(1), "born": e.born,
		})
		next, ok := checkIn(client, address, e.id, body)
		pause := 1500 * time.Millisecond
		if !ok {
			address, pause = "", 200*time.Millisecond
		} else if next != "" {
			address = next
		}
		select {
		case <-e.ended:
			return
		case <-time.After(pause):
		}
	}
}

// checkIn sends one check-in and returns the address that the answer names.
func checkIn(client *http.Client, address, id string, body []byte) (next string, ok bool) {
	res, err := client.Post("http://"+address+"/tanagerbarrow/rpc?call=instances.heartbeat&of="+id, "application/json", bytes.NewReader(body))
	if err != nil {
		return "", false
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		return "", false
	}
	var answer struct {
		HeartbeatAddress string `json:"heartbeatAddress"`
	}
	_ = json.Unmarshal(data, &answer)
	return answer.HeartbeatAddress, true
}

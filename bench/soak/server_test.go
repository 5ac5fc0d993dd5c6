package soak

import (
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

// execution is one execution of a request on a backend server.
type execution struct {
	server string
	zone   string
	at     time.Time
}

// executionLog records the executions of each request, by request ID.
type executionLog struct {
	mu        sync.Mutex
	byRequest map[string][]execution
}

// record records an execution of a request.
func (l *executionLog) record(id string, e execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byRequest[id] = append(l.byRequest[id], e)
}

// of returns the executions of a request.
func (l *executionLog) of(id string) []execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]execution(nil), l.byRequest[id]...)
}

// expectedAnswer returns the complete body of the answer to a request.
func expectedAnswer(id, path string, body []byte) string {
	h := fnv.New64a()
	fmt.Fprint(h, id, path)
	_, _ = h.Write(body)
	return fmt.Sprintf("%s %x %s", id, h.Sum64(), bytes.Repeat([]byte("bronze "), int(h.Sum64()%200)))
}

// slots is the number of requests that a server executes at a time.
const slots = 4

// server is a stand-in backend server behind a proxy that injects faults.
type server struct {
	harness                       *harness
	id, zone                      string
	service, version              string
	started                       int64
	sequence                      atomic.Uint64
	proxyListener, serverListener net.Listener
	inProgress                    atomic.Int32
	// leaveAckedAt is when a control host acknowledged that the server leaves, in
	// Unix nanoseconds; 0 before that.
	leaveAckedAt atomic.Int64
	fault        atomic.Int32
	// limit is the request limit that the server names.
	limit requestLimit
	// backoff is what the server asks entries for that it turns away.
	backoff backoff
	// leaving says that the server leaves and says so in all answers.
	leaving atomic.Bool
	// origins maps the address of each connection of the proxy to the server to the number
	// of the entry that it forwards.
	origins sync.Map
	ended   chan struct{}
}

// Faults that a proxy injects.
const (
	faultNone int32 = iota
	faultDelay
	faultReset
	faultSilence
	faultCutAnswer
	faultRefuse
	faultEndlessHeader
	faultEndlessBody
	faultCount
)

// newServer starts a server of the first version of the service of most routes.
func newServer(h *harness, n int, zone string) (*server, error) {
	return newVersionedServer(h, n, zone, "s", oldVersion)
}

// newVersionedServer starts a server in a zone, with its proxy and its heartbeats.
func newVersionedServer(h *harness, n int, zone, service, version string) (*server, error) {
	s := &server{
		harness: h, id: fmt.Sprintf("i-%d-%d", h.seed, n), zone: zone, service: service, version: version, started: time.Now().UnixMilli(), ended: make(chan struct{}),
	}
	var err error
	if s.serverListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	if s.proxyListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(s.serverListener, s) }()
	go s.proxy()
	go s.sendHeartbeats()
	return s, nil
}

// ServeHTTP executes a request. It fails the test if the request arrives too long
// after the server left or after its zone was taken out.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", s.id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d,100", s.inProgress.Load(), slots))
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	s.harness.checkDeparture(s.id, id, s.originOf(r))
	if s.backoff.turnsAway(s.harness, s.id, s.originOf(r), w) {
		return
	}
	if limit := s.limit.arrive(); limit != "" {
		w.Header().Set("Server-Limit", limit)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.inProgress.Add(1) > slots {
		s.inProgress.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.inProgress.Add(-1)
	s.harness.executions.record(id, execution{server: s.id, zone: s.zone, at: time.Now()})
	if left := s.leaveAckedAt.Load(); left > 0 && time.Since(time.Unix(0, left)) > drainTimeout+requestSlack {
		s.harness.fail("DRAIN: request %s reached %s %s after its leaving was acknowledged", id, s.id, time.Since(time.Unix(0, left)))
	}
	s.harness.checkEvacuation(s.zone, id)
	if keyOf(r.URL.Path) != "" {
		s.harness.accounts.arrive(s.harness, r, s.zone)
	}
	select {
	case <-time.After(time.Duration(5+rand.IntN(60)) * time.Millisecond):
	case <-r.Context().Done():
	}
	w.Header().Set("Response-Signature", "of "+id)
	if s.service == rolledService {
		w.WriteHeader(s.harness.rollout.arrive(s.harness, s.version, id))
	}
	_, _ = io.WriteString(w, expectedAnswer(id, r.URL.Path, body))
}

// originOf returns the number of the entry that sent a request, or -1.
func (s *server) originOf(r *http.Request) int {
	if entry, known := s.origins.Load(r.RemoteAddr); known {
		return entry.(int)
	}
	return -1
}

// proxy accepts connections and forwards them to the server, subject to the current
// fault.
func (s *server) proxy() {
	for {
		c, err := s.proxyListener.Accept()
		if err != nil {
			return
		}
		if s.fault.Load() == faultRefuse {
			reset(c)
			continue
		}
		go func() {
			entry := s.harness.entryOf(c)
			if entry >= 0 && s.harness.cuts[entry].Load() >= cutReset {
				reset(c)
				return
			}
			s.forward(c, entry)
		}()
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// forward forwards one connection of an entry in both directions.
func (s *server) forward(c net.Conn, entry int) {
	b, err := net.Dial("tcp", s.serverListener.Addr().String())
	if err != nil {
		reset(c)
		return
	}
	s.origins.Store(b.LocalAddr().String(), entry)
	defer s.origins.Delete(b.LocalAddr().String())
	defer func() { _ = b.Close() }()
	defer func() { _ = c.Close() }()
	go func() {
		s.copyWithFault(b, c, entry, false)
		_ = b.Close()
	}()
	s.copyWithFault(c, b, entry, true)
}

// copyWithFault copies one direction of an entry's connection, subject to the current
// fault and to the entry's cut; answer marks the direction to the caller.
func (s *server) copyWithFault(to, from net.Conn, entry int, answer bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if !s.harness.awaitPassage(entry, from) {
			reset(to)
			reset(from)
			return
		}
		switch s.fault.Load() {
		case faultDelay:
			time.Sleep(100 * time.Millisecond)
		case faultReset:
			reset(to)
			reset(from)
			return
		case faultSilence:
			continue
		case faultCutAnswer:
			if answer {
				_, _ = to.Write(buffer[:n/2])
				return
			}
		case faultEndlessHeader, faultEndlessBody:
			if answer {
				sendWithoutEnd(to, s.fault.Load() == faultEndlessBody)
				return
			}
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// sendWithoutEnd sends bytes that are no answer, alone or as the body of one, until
// the entry closes the connection.
func sendWithoutEnd(to net.Conn, inBody bool) {
	var err error
	if inBody {
		_, err = io.WriteString(to, "HTTP/1.1 200 OK\r\n\r\n")
	}
	for filler := bytes.Repeat([]byte("rot "), 4<<10); err == nil; {
		_, err = to.Write(filler)
	}
}

// sendHeartbeats sends heartbeats until its leaving is acknowledged, and returns once
// the server has ended.
func (s *server) sendHeartbeats() {
	for {
		select {
		case <-s.ended:
			return
		default:
		}
		if s.leaveAckedAt.Load() == 0 {
			s.harness.callControl("instances.heartbeat&of="+s.id, s.heartbeat("ready"))
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// heartbeat returns the body of a heartbeat that reports a state.
func (s *server) heartbeat(state string) []byte {
	data, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.proxyListener.Addr().String(), "zone": s.zone, "version": s.version, "slots": slots,
		"state": state, "coldRemainingMs": 0, "sequence": s.sequence.Add(1), "born": s.started,
	})
	return data
}

// leave announces that the server leaves until that is acknowledged, and closes the
// proxy after the time to drain.
func (s *server) leave() {
	s.leaving.Store(true)
	for range 40 {
		if s.harness.callControl("instances.heartbeat&of="+s.id, s.heartbeat("draining")) {
			s.leaveAckedAt.Store(time.Now().UnixNano())
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(2 * drainTimeout)
	close(s.ended)
	_ = s.proxyListener.Close()
}

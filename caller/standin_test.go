package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// warmPath is requested to open a kept-alive connection before a fault is set.
const warmPath = "/s/warm"

// tokenHeader identifies a request in the records of a stand-in.
const tokenHeader = "Test-Token"

// completeBody is the body of every complete answer.
const completeBody = "an answer that is long enough to be cut in the middle"

// fault is what a stand-in does with a request.
type fault string

const (
	healthy             fault = "healthy"
	refuseDial          fault = "refuse dial"
	dialTimedOut        fault = "dial timeout"
	resetIdle           fault = "reset before write"
	resetAtOnce         fault = "reset at accept"
	resetInHeader       fault = "reset after part of the header"
	resetInBody         fault = "reset after part of the body"
	resetAfterWrite     fault = "reset after the whole write"
	closeBeforeHeader   fault = "close before the answer"
	closeInHeader       fault = "close in the answer's header"
	closeInAnswer       fault = "close in the middle of the answer"
	resetInAnswer       fault = "reset in the middle of the answer"
	silentAtOnce        fault = "silent before the read"
	silentInHeader      fault = "silent after part of the header"
	silentAfterWrite    fault = "silent after the whole write"
	silentInHeaderOut   fault = "silent in the answer's header"
	silentInAnswer      fault = "silent in the middle of the answer"
	runsLate            fault = "read and run after the verdict"
	answersLate         fault = "answer past the deadline"
	refusesWithHeader   fault = "refusal with its header"
	refusesBare         fault = "bare 503"
	refusesThenCloses   fault = "refusal with its header, then close"
	malformedAnswer     fault = "malformed answer"
	duplicateAnswer     fault = "answer twice"
	switchesProtocols   fault = "unasked 101"
	otherRequestsAnswer fault = "answer of another request"
)

// standIn is a test backend server over raw TCP that shows a fault and records
// which requests ran.
type standIn struct {
	address  netip.AddrPort
	listener net.Listener
	released chan struct{}
	wg       sync.WaitGroup

	mu      sync.Mutex
	fault   fault
	conns   map[net.Conn]bool
	runs    map[string]int
	arrived int // requests of which a byte arrived under a fault
}

// addressesInUse counts the loopback addresses in use. Each stand-in has an address
// of its own, so that a port that it releases is never reused by another stand-in.
var addressesInUse atomic.Uint32

// uniqueLoopbackAddress returns a loopback address that no other stand-in has.
func uniqueLoopbackAddress() [4]byte {
	n := addressesInUse.Add(1)
	return [4]byte{127, byte(1 + n>>16), byte(n >> 8), byte(n)}
}

func startStandIn(t *testing.T) *standIn {
	t.Helper()
	l, err := net.Listen("tcp", netip.AddrPortFrom(netip.AddrFrom4(uniqueLoopbackAddress()), 0).String())
	if err != nil {
		t.Fatal(err)
	}
	s := &standIn{
		listener: l, address: l.Addr().(*net.TCPAddr).AddrPort(), fault: healthy,
		conns: map[net.Conn]bool{}, runs: map[string]int{}, released: make(chan struct{}),
	}
	s.wg.Go(s.accept)
	return s
}

// dialTimeoutStandIn returns an address at which dials time out, because its
// accept backlog is full.
func dialTimeoutStandIn(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	host := uniqueLoopbackAddress()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: host}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	port := name.(*syscall.SockaddrInet4).Port
	address := netip.AddrPortFrom(netip.AddrFrom4(host), uint16(port))
	for range 2 {
		if c, err := net.DialTimeout("tcp", address.String(), 50*time.Millisecond); err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	return address
}

// setFault makes the stand-in follow the fault from now on.
func (s *standIn) setFault(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	if f == refuseDial {
		_ = s.listener.Close()
	}
	if f == refuseDial || f == resetIdle {
		for c := range s.conns {
			reset(c)
		}
	}
}

// release lets the stand-in continue with requests that it delays.
func (s *standIn) release() { close(s.released) }

// close stops the stand-in after it has read all that arrived. The peers must
// have closed its connections.
func (s *standIn) close() {
	_ = s.listener.Close()
	s.wg.Wait()
}

func (s *standIn) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		f := s.fault
		s.mu.Unlock()
		if f == resetAtOnce {
			reset(c)
			continue
		}
		s.wg.Go(func() { s.serve(c) })
	}
}

// serve serves one connection.
func (s *standIn) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		s.mu.Lock()
		f := s.fault
		if f != healthy {
			s.arrived++
		}
		s.mu.Unlock()
		if !s.handleRequest(c, in, f) {
			return
		}
	}
}

// handleRequest handles one request and reports whether the connection remains
// open.
func (s *standIn) handleRequest(c net.Conn, in *bufio.Reader, f fault) bool {
	switch f {
	case silentAtOnce:
		<-s.released
		return false
	case runsLate:
		<-s.released
	case resetInHeader, silentInHeader:
		_, _ = in.Discard(10)
		if f == silentInHeader {
			<-s.released
		}
		reset(c)
		return false
	}
	r, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	if f == resetInBody {
		_, _ = io.CopyN(io.Discard, r.Body, 3)
		reset(c)
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	return s.answer(c, r, f)
}

// answer answers a request that was read completely, and reports whether the
// connection remains open.
func (s *standIn) answer(c net.Conn, r *http.Request, f fault) bool {
	token := r.Header.Get(tokenHeader)
	if f != refusesWithHeader && f != refusesThenCloses {
		s.mu.Lock()
		s.runs[token]++
		s.mu.Unlock()
	}
	whole := "HTTP/1.1 200 OK\r\nContent-Length: 53\r\n" + tokenHeader + ": " + token + "\r\n\r\n" + completeBody
	if r.Method == http.MethodHead {
		whole = whole[:len(whole)-len(completeBody)]
	}
	write := func(text string) { _, _ = io.WriteString(c, text) }
	switch f {
	case resetAfterWrite:
		reset(c)
	case closeBeforeHeader:
	case closeInHeader:
		write(whole[:20])
	case closeInAnswer, resetInAnswer:
		write(whole[:len(whole)-5])
		if f == resetInAnswer {
			reset(c)
		}
	case silentAfterWrite, silentInHeaderOut, silentInAnswer:
		write(whole[:map[fault]int{silentInHeaderOut: 20, silentInAnswer: len(whole) - 5}[f]])
		<-s.released
	case answersLate:
		<-s.released
		write(whole)
	case refusesWithHeader:
		write("HTTP/1.1 503 Service Unavailable\r\nTanagerbarrow-Refused: full\r\nContent-Length: 0\r\n\r\n")
		return true
	case refusesThenCloses:
		write("HTTP/1.1 503 Service Unavailable\r\nTanagerbarrow-Refused: full\r\nContent-Length: 9\r\n\r\n")
	case refusesBare:
		write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return true
	case malformedAnswer:
		write("HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n")
	case switchesProtocols:
		write("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n")
	case otherRequestsAnswer:
		write("HTTP/1.1 200 OK\r\nTanagerbarrow-Request-Id: other\r\nContent-Length: 5\r\n\r\nother")
	case duplicateAnswer:
		write(whole + whole)
		return true
	default:
		write(whole)
		return true
	}
	return false
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

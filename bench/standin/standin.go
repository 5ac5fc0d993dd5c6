// Package standin is a backend server to test and measure against. It serves
// a few routes, records what it ran, and announces itself to entries.
package standin

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/membership"
)

// TokenHeader is echoed, so that a caller can tell that an answer is its own.
const TokenHeader = "Test-Token"

// Options describe a stand-in.
type Options struct {
	// Service, AvailabilityZone, Slots and Generation are announced.
	Service          string
	AvailabilityZone string
	Slots            int
	Generation       uint64
	// Entries are the admin addresses of entries, asked in turn.
	Entries []string
	// AnnounceKey is presented with announcements.
	AnnounceKey string
	// ServiceTime is how long each request takes unless Script is set.
	ServiceTime time.Duration
	// Script is how the stand-in behaves at first; by default its slots are
	// unlimited.
	Script *Script
	// State is announced at first; [membership.Ready] by default.
	State membership.State
}

// maxLog bounds the requests in the log.
const maxLog = 1_000_000

// Server is one running stand-in.
type Server struct {
	options  Options
	listener net.Listener
	http     *http.Server
	cancel   context.CancelFunc
	wake     chan struct{} // capacity 1, wakes the announcer

	mu          sync.Mutex
	script      Script
	changed     chan struct{} // closed when the script changes
	coldSince   time.Time
	connections int // connections accepted so far
	opened      int // connections accepted before the script came
	state       membership.State
	runs        map[string]int
	running     int
	waiting     []chan struct{}
	counters    Counters
	log         []*RequestRecord
}

// Start listens on a free loopback port and announces the stand-in until it is
// closed.
func Start(o Options) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a stand-in")
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		options: o, listener: listener, cancel: cancel, wake: make(chan struct{}, 1),
		script: Script{ServiceMillis: o.ServiceTime.Milliseconds(), Unlimited: true},
		state:  membership.Ready, runs: map[string]int{}, changed: make(chan struct{}),
	}
	if o.Script != nil {
		s.script = *o.Script
		s.coldSince = time.Now()
	}
	if o.State != "" {
		s.state = o.State
	}
	mux := http.NewServeMux()
	s.control(mux)
	mux.HandleFunc("/", s.serve)
	s.http = &http.Server{
		Handler: mux, ReadHeaderTimeout: time.Minute, ConnContext: s.numberConnection,
	}
	go func() { _ = s.http.Serve(listener) }()
	if len(o.Entries) > 0 {
		go s.announceForever(ctx)
	}
	return s, nil
}

// connectionKey is the context key of a connection's number.
type connectionKey struct{}

// numberConnection numbers the connections in order of arrival.
func (s *Server) numberConnection(ctx context.Context, _ net.Conn) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections++
	return context.WithValue(ctx, connectionKey{}, s.connections)
}

// Address returns where the stand-in serves.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close stops the stand-in at once, as a crash would.
func (s *Server) Close() {
	s.cancel()
	_ = s.http.Close()
}

// Answer is the body of every response.
type Answer struct {
	// Server is the stand-in's address.
	Server string `json:"server"`
	// Method and Path are those of the request.
	Method string `json:"method"`
	Path   string `json:"path"`
	// Token is the request's [TokenHeader].
	Token string `json:"token"`
	// Bytes and SHA256 describe the request's body.
	Bytes  int64  `json:"bytes"`
	SHA256 string `json:"sha256"`
}

// Package standin provides a stand-in backend server for tests and
// measurements. It answers any path, records the requests that it ran, announces
// itself to entries, and can be scripted to be slow, overloaded or faulty.
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

// TokenHeader identifies a request. It is echoed in the response, so that a
// caller can verify that the response belongs to its request.
const TokenHeader = "Test-Token"

// Options configures a stand-in.
type Options struct {
	// Service, AvailabilityZone, Slots and Generation are announced to entries.
	Service          string
	AvailabilityZone string
	Slots            int
	Generation       uint64
	// Entries are the admin addresses of entries, tried in turn. If it is empty,
	// the stand-in does not announce itself.
	Entries []string
	// AnnounceKey is the key sent with announcements.
	AnnounceKey string
	// ServiceTime is the service time of each request unless Script is set.
	ServiceTime time.Duration
	// Script is the initial script; by default any number of requests run at
	// once.
	Script *Script
	// State is the initially announced state; [membership.Ready] by default.
	State membership.State
}

// maxRecords is the number of requests that are recorded.
const maxRecords = 1_000_000

// Server is a running stand-in.
type Server struct {
	options     Options
	listener    net.Listener
	http        *http.Server
	cancel      context.CancelFunc
	announceNow chan struct{} // capacity 1, triggers an announcement

	mu                  sync.Mutex
	script              Script
	scriptChanged       chan struct{} // closed when the script changes
	coldSince           time.Time
	connections         int // connections accepted so far
	connectionsAtScript int // connections accepted before the script was set
	state               membership.State
	runCounts           map[string]int
	running             int
	queue               []chan struct{}
	counters            Counters
	records             []*RequestRecord
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
		options: o, listener: listener, cancel: cancel, announceNow: make(chan struct{}, 1),
		script: Script{ServiceMillis: o.ServiceTime.Milliseconds(), Unlimited: true},
		state:  membership.Ready, runCounts: map[string]int{}, scriptChanged: make(chan struct{}),
	}
	if o.Script != nil {
		s.script = *o.Script
		s.coldSince = time.Now()
	}
	if o.State != "" {
		s.state = o.State
	}
	mux := http.NewServeMux()
	s.registerControlRoutes(mux)
	mux.HandleFunc("/", s.serve)
	s.http = &http.Server{
		Handler: mux, ReadHeaderTimeout: time.Minute, ConnContext: s.numberConnection,
	}
	go func() { _ = s.http.Serve(listener) }()
	if len(o.Entries) > 0 {
		go s.announceLoop(ctx)
	}
	return s, nil
}

// connectionKey is the context key of a connection's number.
type connectionKey struct{}

// numberConnection stores the number of a connection, counted in order of
// arrival, in its context.
func (s *Server) numberConnection(ctx context.Context, _ net.Conn) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections++
	return context.WithValue(ctx, connectionKey{}, s.connections)
}

// Address returns the listen address.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close closes the listener and all connections abruptly, as a crash would.
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

// Package standin is a backend server to test and measure against. It serves
// a few routes, records what it ran, and announces itself to entries.
package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/backend"
	"tanagerbarrow/membership"
)

// TokenHeader is echoed, so that a caller can tell that an answer is its own.
const TokenHeader = "Test-Token"

// retryPause is the time between announcements that failed.
const retryPause = 100 * time.Millisecond

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
	// ServiceTime is how long each request takes.
	ServiceTime time.Duration
}

// Server is one running stand-in.
type Server struct {
	options  Options
	listener net.Listener
	http     *http.Server
	cancel   context.CancelFunc

	mu    sync.Mutex
	state membership.State
	runs  map[string]int
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
		options: o, listener: listener, cancel: cancel,
		state: membership.Ready, runs: map[string]int{},
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(listener) }()
	if len(o.Entries) > 0 {
		go s.announceForever(ctx)
	}
	return s, nil
}

// Address returns where the stand-in serves.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Runs returns how often the request with the token ran.
func (s *Server) Runs(token string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[token]
}

// Close stops the stand-in at once, as a crash would.
func (s *Server) Close() {
	s.cancel()
	_ = s.http.Close()
}

// serve answers with a JSON object that names the server, the token and the
// SHA-256 of the body.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	sum := sha256.New()
	size, err := io.Copy(sum, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	token := r.Header.Get(TokenHeader)
	s.mu.Lock()
	s.runs[token]++
	s.mu.Unlock()
	time.Sleep(s.options.ServiceTime)
	w.Header().Set(TokenHeader, token)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{
		Server: s.Address().String(), Method: r.Method, Path: r.URL.Path, Token: token,
		Bytes: size, SHA256: hex.EncodeToString(sum.Sum(nil)),
	})
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

// announceForever announces the stand-in to one entry after another.
func (s *Server) announceForever(ctx context.Context) {
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		entry := s.options.Entries[int(sequence)%len(s.options.Entries)]
		lease, err := s.announce(ctx, entry, sequence)
		wait := lease / 3
		if err != nil {
			wait = retryPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// announce announces the stand-in once and returns its lease.
func (s *Server) announce(ctx context.Context, entry string, sequence uint64) (time.Duration, error) {
	s.mu.Lock()
	record := membership.BackendServer{
		Service: s.options.Service, Address: s.Address(), AvailabilityZone: s.options.AvailabilityZone,
		Slots: s.options.Slots, Generation: s.options.Generation, State: s.state, Sequence: sequence,
	}
	s.mu.Unlock()
	body, err := json.Marshal(record)
	if err != nil {
		return 0, errors.Wrap(err, "encode announcement")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s%s", entry, backend.AnnouncePath)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrapf(err, "announce to %s", entry)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(backend.AnnounceKeyHeader, s.options.AnnounceKey)
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, errors.Wrapf(err, "announce to %s", entry)
	}
	defer func() { _ = res.Body.Close() }()
	var granted backend.Granted
	if res.StatusCode != http.StatusOK {
		return 0, errors.Newf("announce to %s: status %d", entry, res.StatusCode)
	}
	err = json.NewDecoder(res.Body).Decode(&granted)
	return time.Duration(granted.LeaseMillis) * time.Millisecond, errors.Wrapf(err, "decode lease of %s", entry)
}

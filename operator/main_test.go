package operator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"tanagerbarrow/consensus"
	"tanagerbarrow/state"
	"tanagerbarrow/telemetry"
)

const testKey = "operator-key"

// errLost is what a faulty replica or link answers.
var errLost = errors.New("lost on purpose")

// group is a fake replicated log with two replicas.
type group struct {
	mu       sync.Mutex
	log      [][]byte
	replicas []*replica
	// leader is the replica that applies proposals; the others lag behind.
	leader int
	// loseNext loses the next proposal or its answer.
	loseNext loss
}

// loss says what becomes of the next proposal.
type loss int

const (
	loseNothing loss = iota
	loseProposal
	loseAnswer
)

// replica is one fake replica. It applies commands only when it leads or passes
// a read barrier.
type replica struct {
	group   *group
	machine *state.Machine
	applied int
	api     *API
	routes  *echo.Echo
}

// newGroup returns a group of two replicas.
func newGroup() *group {
	g := &group{}
	for range 2 {
		r := &replica{group: g}
		g.replicas = append(g.replicas, r)
		r.serve(state.NewMachine(), 0)
	}
	return g
}

// serve makes the replica serve the API on a machine that applied part of the
// log.
func (r *replica) serve(m *state.Machine, applied int) {
	r.machine, r.applied = m, applied
	if r.api != nil {
		r.api.Machine = m
		return
	}
	r.api = &API{
		Key: testKey, Topology: state.Topology{Regions: map[string]string{"z1": "north", "z2": "south"}},
		Machine: m, Replicator: r, Metrics: telemetry.NewMetrics(), Log: zerolog.Nop(),
		Hosts: func(context.Context) Hosts { return Hosts{} },
	}
	r.routes = echo.New()
	r.api.Register(r.routes)
}

// catchUp applies what the replica lacks and returns the last result.
func (r *replica) catchUp() (last []byte, err error) {
	for r.applied < len(r.group.log) {
		if last, err = r.machine.Apply(r.group.log[r.applied]); err != nil {
			return nil, err
		}
		r.applied++
	}
	return last, nil
}

// Propose commits a command.
func (r *replica) Propose(_ context.Context, command []byte) ([]byte, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	lose := r.group.loseNext
	r.group.loseNext = loseNothing
	if lose == loseProposal {
		return nil, errLost
	}
	r.group.log = append(r.group.log, command)
	if lose == loseAnswer {
		return nil, errLost
	}
	return r.group.replicas[r.group.leader].catchUp()
}

// ReadBarrier catches up.
func (r *replica) ReadBarrier(context.Context) error {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	_, err := r.catchUp()
	return err
}

// Status and Close complete the interface.
func (r *replica) Status() consensus.Status { return consensus.Status{} }
func (r *replica) Close() error             { return nil }

// wire carries a client's calls to the replicas in order of preference, without
// a network. It can lose one response.
type wire struct {
	group    *group
	first    int
	loseNext bool
}

// RoundTrip serves a request on the replica that its host names.
func (w *wire) RoundTrip(r *http.Request) (*http.Response, error) {
	at := w.first
	if r.URL.Host == "second" {
		at = 1 - w.first
	}
	out := httptest.NewRecorder()
	w.group.replicas[at].routes.ServeHTTP(out, r)
	if w.loseNext {
		w.loseNext = false
		return nil, errLost
	}
	return out.Result(), nil
}

// client returns a client of both replicas.
func (w *wire) client(key string) *Client {
	c := NewClient("http://first", key, "http://second")
	c.http.Transport = w
	return c
}

// do sends one raw request to the first replica.
func (g *group) do(t *testing.T, method, path, authorization string, body io.Reader) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequest(method, path, body)
	r.Header.Set("Content-Type", "application/json")
	if authorization != "" {
		r.Header.Set("Authorization", authorization)
	}
	out := httptest.NewRecorder()
	g.replicas[0].routes.ServeHTTP(out, r)
	return out
}

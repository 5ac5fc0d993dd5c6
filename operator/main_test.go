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

// errInjected is the error of a proposal or response that is lost on purpose.
var errInjected = errors.New("lost on purpose")

// fakeGroup is a fake replicated log with two replicas.
type fakeGroup struct {
	mu       sync.Mutex
	log      [][]byte
	replicas []*fakeReplica
	// leader is the replica that applies proposals; the others lag behind.
	leader int
	// nextLoss says whether the next proposal or its answer is lost.
	nextLoss proposalLoss
}

// proposalLoss says which part of a proposal is lost.
type proposalLoss int

const (
	loseNothing proposalLoss = iota
	loseProposal
	loseAnswer
)

// fakeReplica is one replica of a fakeGroup. It applies commands only when it
// is the leader or passes a read barrier.
type fakeReplica struct {
	group   *fakeGroup
	machine *state.Machine
	applied int
	api     *API
	routes  *echo.Echo
}

// newGroup returns a group of two replicas.
func newGroup() *fakeGroup {
	g := &fakeGroup{}
	for range 2 {
		r := &fakeReplica{group: g}
		g.replicas = append(g.replicas, r)
		r.useMachine(state.NewMachine(), 0)
	}
	return g
}

// useMachine makes the replica serve the API from a machine that has applied
// the given number of commands of the log.
func (r *fakeReplica) useMachine(m *state.Machine, applied int) {
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

// catchUp applies the commands that the replica has not applied yet, and
// returns the last result.
func (r *fakeReplica) catchUp() (last []byte, err error) {
	for r.applied < len(r.group.log) {
		if last, err = r.machine.Apply(r.group.log[r.applied]); err != nil {
			return nil, err
		}
		r.applied++
	}
	return last, nil
}

// Propose appends a command to the log and returns its result from the leader.
func (r *fakeReplica) Propose(_ context.Context, command []byte) ([]byte, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	loss := r.group.nextLoss
	r.group.nextLoss = loseNothing
	if loss == loseProposal {
		return nil, errInjected
	}
	r.group.log = append(r.group.log, command)
	if loss == loseAnswer {
		return nil, errInjected
	}
	return r.group.replicas[r.group.leader].catchUp()
}

// ReadBarrier applies everything in the log.
func (r *fakeReplica) ReadBarrier(context.Context) error {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	_, err := r.catchUp()
	return err
}

// Status and Close complete the Replicator interface.
func (r *fakeReplica) Status() consensus.Status { return consensus.Status{} }
func (r *fakeReplica) Close() error             { return nil }

// replicaTransport passes a client's requests directly to the replicas, without
// a network. It can lose one response.
type replicaTransport struct {
	group            *fakeGroup
	preferred        int
	loseNextResponse bool
}

// RoundTrip serves a request on the replica that the host of the URL selects.
func (transport *replicaTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	index := transport.preferred
	if r.URL.Host == "second" {
		index = 1 - transport.preferred
	}
	out := httptest.NewRecorder()
	transport.group.replicas[index].routes.ServeHTTP(out, r)
	if transport.loseNextResponse {
		transport.loseNextResponse = false
		return nil, errInjected
	}
	return out.Result(), nil
}

// client returns a client that tries both replicas.
func (transport *replicaTransport) client(key string) *Client {
	c := NewClient("http://first", key, "http://second")
	c.http.Transport = transport
	return c
}

// request sends one raw request to the first replica.
func (g *fakeGroup) request(t *testing.T, method, path, authorization string, body io.Reader) *httptest.ResponseRecorder {
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

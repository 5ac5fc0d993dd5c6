package dispatch

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/backend"
	"tanagerbarrow/balance"
	"tanagerbarrow/limit"
	"tanagerbarrow/membership"
	"tanagerbarrow/request"
	"tanagerbarrow/state"
	"tanagerbarrow/verdict"
)

// startTries bounds the choices that lose their room to another request.
const startTries = 3

// Balancer chooses backend servers for the requests of one entry, counts what
// is in progress on them, and holds requests while all are at their limits.
type Balancer struct {
	// Members returns the known backend servers.
	Members func() *membership.View
	// Configuration returns the configuration in force.
	Configuration func() *state.Configuration
	// Place is where the entry stands.
	Place balance.Place
	// ReturnedZones says when availability zones that were out came back; nil means
	// that none was out.
	ReturnedZones func() map[string]time.Time
	// Loads are the requests in progress.
	Loads *balance.Loads

	current atomic.Pointer[choices]
	build   sync.Mutex

	mu      sync.Mutex
	queues  map[string]*limit.Queue[*ticket]
	waiting atomic.Int64
}

// choices are the choices for one view and one configuration.
type choices struct {
	*balance.Choices

	view   *membership.View
	config *state.Configuration
}

// Refresh takes the newest view and configuration in. An entry calls it also
// without requests of its own, because it may own the admission of backend
// servers that others send requests to.
func (b *Balancer) Refresh() {
	if b.Configuration() != nil {
		b.choices()
	}
}

// choices returns the choices for the newest view and configuration.
func (b *Balancer) choices() *choices {
	view, config := b.Members(), b.Configuration()
	have := b.current.Load()
	if have != nil && have.view == view && have.config == config {
		return have
	}
	b.build.Lock()
	defer b.build.Unlock()
	view, config = b.Members(), b.Configuration()
	have = b.current.Load()
	if have != nil && have.view == view && have.config == config {
		return have
	}
	place := b.Place
	if b.ReturnedZones != nil {
		place.ReturnedZones = b.ReturnedZones()
	}
	next := &choices{
		Choices: balance.NewChoices(b.Loads, view, config, place, time.Now()),
		view:    view, config: config,
	}
	b.current.Store(next)
	return next
}

// start chooses a backend server and counts the request on it. full is true if
// there are backend servers, all of them at their limits.
func (b *Balancer) start(r *request.Request, tried []netip.AddrPort, waiting int) (started balance.StartedRequest, ok, full bool) {
	all := b.choices()
	for range startTries {
		s, full := all.Pick(r.Service.Name, balance.Query{
			Now: time.Now().UnixNano(), Random: rand.Uint64(), Waiting: waiting,
			HomeRegions: r.HomeRegions, Tried: tried,
		})
		if s == nil {
			return balance.StartedRequest{}, false, full
		}
		if started, ok = b.Loads.Start(s); ok {
			return started, true, false
		}
	}
	return balance.StartedRequest{}, false, true
}

// Reserve chooses a backend server for the request and counts it there. It
// waits while all are at their limits. Without an allowed backend server it
// returns errNoServer.
func (b *Balancer) Reserve(ctx context.Context, r *request.Request, tried []netip.AddrPort) (balance.StartedRequest, error) {
	if b.waitersOf(r.Service.Name) == 0 {
		started, ok, full := b.start(r, tried, 0)
		if ok {
			return started, nil
		}
		if !full {
			return balance.StartedRequest{}, errNoServer
		}
	}
	return b.wait(ctx, r, tried)
}

// errNoServer means that no backend server is allowed for a request.
var errNoServer = errors.New("no backend server")

// Release ends the count of a request and learns from its answer.
func (b *Balancer) Release(started balance.StartedRequest, a balance.Result) {
	b.Loads.Finish(started, a, time.Now())
	b.wake(started.Server.Record.Service)
}

// answerOf returns what an exchange showed of its backend server.
func answerOf(ctx context.Context, res *http.Response, err error, took time.Duration) balance.Result {
	a := balance.Result{Latency: took}
	var e *verdict.Error
	switch {
	case err == nil && res.StatusCode >= http.StatusInternalServerError:
		a.Kind = balance.ServerError
	case err == nil:
		a.Kind = balance.Good
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		a.Kind = balance.TimedOut
	case ctx.Err() != nil:
		a.Kind = balance.Cancelled
	case errors.As(err, &e) && e.Code == backend.CodeRefused:
		a.Kind = balance.Refused
	case !backend.ServerAtFault(err):
		a.Kind = balance.Cancelled
	default:
		a.Kind = balance.Broken
	}
	return a
}

// countedBody ends the count of a request when its answer is closed.
type countedBody struct {
	io.ReadCloser

	release func()
	once    sync.Once
}

// Close closes the answer.
func (b *countedBody) Close() error {
	b.once.Do(b.release)
	return b.ReadCloser.Close()
}

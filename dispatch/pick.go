package dispatch

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
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

// maxStartAttempts limits how often a backend server is chosen for a request
// while concurrent requests take the last room on each chosen one.
const maxStartAttempts = 3

// Balancer chooses backend servers for the requests of one entry, counts the
// requests in progress on them, and queues requests while all are at their
// limits.
type Balancer struct {
	// Members returns the known backend servers.
	Members func() *membership.View
	// Configuration returns the configuration in force.
	Configuration func() *state.Configuration
	// Place is the location of the entry.
	Place balance.Place
	// ReturnedZones returns when each availability zone that was out of service
	// returned; nil means that none was out.
	ReturnedZones func() map[string]time.Time
	// Loads counts the requests in progress.
	Loads *balance.Loads

	current atomic.Pointer[choices]
	build   sync.Mutex

	mu      sync.Mutex
	queues  map[string]*limit.Queue[*queuedRequest]
	waiting atomic.Int64
}

// choices are the backend servers to choose from for one view and one
// configuration.
type choices struct {
	*balance.Choices

	view   *membership.View
	config *state.Configuration
}

// Refresh applies the newest view and configuration. An entry without requests
// must call it too, because it may own the admission of backend servers that
// other entries send requests to.
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

// start chooses a backend server and counts the request as in progress on it. ok
// is false if there is none; full is then true if there are backend servers that
// are all at their limits.
func (b *Balancer) start(r *request.Request, x Exclusions, waiting int) (started balance.StartedRequest, ok, full bool) {
	query := balance.Query{Waiting: waiting, HomeRegions: r.HomeRegions, Excluded: x.Servers, ExcludedZone: x.Zone}
	if started, ok, full = b.startAny(r.Service.Name, query); ok || x.Zone == "" {
		return started, ok, full
	}
	query.ExcludedZone = ""
	return b.startAny(r.Service.Name, query)
}

// startAny is start for a query whose time and random number are not set.
func (b *Balancer) startAny(service string, query balance.Query) (started balance.StartedRequest, ok, full bool) {
	all := b.choices()
	for range maxStartAttempts {
		query.Now, query.Random = time.Now().UnixNano(), rand.Uint64()
		s, full := all.Pick(service, query)
		if s == nil {
			return balance.StartedRequest{}, false, full
		}
		if started, ok = b.Loads.Start(s); ok {
			return started, true, false
		}
	}
	return balance.StartedRequest{}, false, true
}

// Reserve chooses a backend server for the request and counts the request as in
// progress on it. It waits while all are at their limits. If no backend server is
// allowed, it returns errNoServer.
func (b *Balancer) Reserve(ctx context.Context, r *request.Request, x Exclusions) (balance.StartedRequest, error) {
	if b.waitingFor(r.Service.Name) == 0 {
		started, ok, full := b.start(r, x, 0)
		if ok {
			return started, nil
		}
		if !full {
			return balance.StartedRequest{}, errNoServer
		}
	}
	return b.wait(ctx, r, x)
}

// errNoServer means that no backend server is allowed for a request.
var errNoServer = errors.New("no backend server")

// Release counts a request as finished, records its result and serves the queue
// of the service.
func (b *Balancer) Release(started balance.StartedRequest, result balance.Result) {
	b.Loads.Finish(started, result, time.Now())
	b.wake(started.Server.Record.Service)
}

// resultOf returns the result of an attempt for the load balancer.
func resultOf(ctx context.Context, res *http.Response, err error, took time.Duration) balance.Result {
	result := balance.Result{Latency: took}
	var e *verdict.Error
	switch {
	case err == nil && res.StatusCode >= http.StatusInternalServerError:
		result.Kind = balance.ServerError
	case err == nil:
		result.Kind = balance.Good
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result.Kind = balance.TimedOut
	case ctx.Err() != nil:
		result.Kind = balance.Cancelled
	case errors.As(err, &e) && e.Code == backend.CodeRefused:
		result.Kind = balance.Refused
	case !backend.ServerAtFault(err):
		result.Kind = balance.Cancelled
	default:
		result.Kind = balance.Broken
	}
	return result
}

// releasingBody counts a request as finished when its response is closed.
type releasingBody struct {
	io.ReadCloser

	release func()
	once    sync.Once
}

// Close closes the response and counts the request as finished, once.
func (b *releasingBody) Close() error {
	b.once.Do(b.release)
	return b.ReadCloser.Close()
}

package route

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/account"
)

// Kind says whether a request may run more than once.
type Kind uint8

// The kinds of requests.
const (
	// Once marks requests that may run at most once for each attempt of the caller.
	Once Kind = iota
	// Idempotent marks requests that may run more than once.
	Idempotent
	// Upload marks requests that are like [Once] and have a large body.
	Upload
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Upload:
		return "upload"
	default:
		return "once"
	}
}

// Share is one service's part of a route's weighted traffic split.
type Share struct {
	// Service is the service that receives the share.
	Service string
	// Weight is the size of the share relative to the others.
	Weight float64
}

// Route says how requests below a path prefix of a host are served.
type Route struct {
	// Name is the operator's name for the route.
	Name string
	// Host and PathPrefix select the requests.
	Host, PathPrefix string
	// Kind says whether a request may run more than once.
	Kind Kind
	// Timeout bounds the time that the caller waits, retries included.
	Timeout time.Duration
	// LatencyObjective is the target response time: a later response is worth less
	// to the caller.
	LatencyObjective time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Shares are the services of the route; a route that is not split has one of
	// weight 1.
	Shares []Share
	// MaxAttempts bounds the backend servers to which one request may be sent.
	MaxAttempts int
	// HomeRegions are the only regions that may serve the request; empty means
	// any.
	HomeRegions []string
	// Public says that callers need no client account.
	Public bool
}

// accountRankStep is the distance of the ranks of two priorities of client accounts: more than
// there are priorities of routes.
const accountRankStep = 1 << 10

// WithAccount returns the route as it holds for a request of a client account, nil for none, in a
// configuration with accounts: the account's priority goes before the route's, and the home
// regions of both bind. A priority that the account doesn't declare is the route's.
func (r *Route) WithAccount(a *account.Account) *Route {
	out := *r
	first := r.Priority
	if a != nil {
		out.HomeRegions = account.CommonRegions(a.HomeRegions, r.HomeRegions)
		if a.Priority != nil {
			first = *a.Priority
		}
	}
	out.Priority = first*accountRankStep + min(max(r.Priority, 0), accountRankStep-1)
	return &out
}

// Servable reports whether any region may serve the route's requests.
func (r *Route) Servable() bool { return !slices.Contains(r.HomeRegions, account.NoRegion) }

// AllowedIn reports whether a request of the route may be served in the region.
func (r *Route) AllowedIn(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// Service is a group of interchangeable backend servers.
type Service struct {
	// Name is the service's name.
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections bounds the connections to one backend server from all
	// processes together.
	MaxConnections int
	// ColdTime is how long a backend server is cold after its start.
	ColdTime time.Duration
	// ColdRate is the number of requests per second that a cold backend server
	// tolerates.
	ColdRate float64
}

// CallerLimits bound the requests and connections of a caller.
type CallerLimits struct {
	// MaxHeaderBytes and MaxBodyBytes bound a request, in bytes.
	MaxHeaderBytes, MaxBodyBytes int64
	// HeaderTimeout bounds the arrival of a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a kept-alive connection may be idle.
	IdleTimeout time.Duration
}

// Configuration is a complete routing configuration.
type Configuration struct {
	// Version orders configurations; the one with the highest version applies.
	Version uint64
	// Routes and Services are the declared routes and services.
	Routes   []Route
	Services []Service
	// ClientAccounts are the accounts of callers; if there are any, requests need the key of one
	// unless their route is public.
	ClientAccounts []account.Account
	// Limits bound the requests and connections of each caller.
	Limits CallerLimits
}

// maxTimeout bounds a route's timeout; a longer one is an operator's mistake.
const maxTimeout = 10 * time.Minute

// Check returns an error that names the first rule that the configuration
// breaks, and where.
func (c *Configuration) Check() error {
	services := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			return errors.Newf("service %q is unnamed or declared twice", s.Name)
		}
		services[s.Name] = true
	}
	routeNames := map[[2]string]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.check(services); err != nil {
			return errors.Wrapf(err, "route %q", r.Name)
		}
		location := [2]string{r.Host, r.PathPrefix}
		if other, taken := routeNames[location]; taken {
			return errors.Newf("routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.PathPrefix)
		}
		routeNames[location] = r.Name
	}
	return account.Check(c.ClientAccounts)
}

// check returns an error that names the first rule that the route breaks. The
// keys of services are the names of the declared services.
func (r *Route) check(services map[string]bool) error {
	switch {
	case r.Host == "":
		return errors.New("no host")
	case !strings.HasPrefix(r.PathPrefix, "/"):
		return errors.Newf("path prefix %q does not begin with a slash", r.PathPrefix)
	case r.Timeout <= 0 || r.Timeout > maxTimeout:
		return errors.Newf("timeout %s, allowed are more than 0 and at most %s", r.Timeout, maxTimeout)
	case len(r.Shares) == 0:
		return errors.New("no service")
	}
	totalWeight := 0.0
	for _, s := range r.Shares {
		if !services[s.Service] {
			return errors.Newf("service %q is unknown", s.Service)
		}
		if s.Weight < 0 {
			return errors.Newf("service %q has weight %g", s.Service, s.Weight)
		}
		totalWeight += s.Weight
	}
	if totalWeight <= 0 {
		return errors.New("all weights are zero")
	}
	return nil
}

// Index looks up the routes and services of a configuration.
type Index struct {
	config   *Configuration
	hosts    map[string][]*Route
	services map[string]*Service
	accounts *account.Index
}

// NewIndex indexes a configuration, which must not change afterwards.
func NewIndex(c *Configuration) *Index {
	x := &Index{config: c, hosts: map[string][]*Route{}, services: map[string]*Service{}, accounts: account.NewIndex(c.ClientAccounts)}
	for i := range c.Routes {
		r := &c.Routes[i]
		x.hosts[r.Host] = append(x.hosts[r.Host], r)
	}
	for _, routes := range x.hosts {
		sort.Slice(routes, func(i, j int) bool { return routes[i].PathPrefix < routes[j].PathPrefix })
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	return x
}

// Configuration returns the indexed configuration.
func (x *Index) Configuration() *Configuration { return x.config }

// Service returns a service, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Accounts returns the client accounts.
func (x *Index) Accounts() *account.Index { return x.accounts }

// Find returns the route with the longest prefix of the path, or nil. Prefixes end
// with a slash, so Find makes one look-up for each slash of the path.
func (x *Index) Find(host, path string) *Route {
	routes := x.hosts[host]
	if len(routes) == 0 {
		return nil
	}
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		prefix := path[:end]
		at := sort.Search(len(routes), func(i int) bool { return routes[i].PathPrefix >= prefix })
		if at < len(routes) && routes[at].PathPrefix == prefix {
			return routes[at]
		}
	}
	return nil
}

// Choose returns the service for a request of the route. The draw is a random
// number from 0 to 1; equal draws choose the same service.
func (r *Route) Choose(draw float64) string {
	totalWeight := 0.0
	for _, s := range r.Shares {
		totalWeight += s.Weight
	}
	remaining := draw * totalWeight
	for _, s := range r.Shares {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

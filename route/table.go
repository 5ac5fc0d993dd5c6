package route

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind says how often a request may run.
type Kind uint8

// The kinds of requests.
const (
	// Once may run at most once for each attempt of the caller.
	Once Kind = iota
	// Idempotent may run more than once.
	Idempotent
	// Upload is Once with a large body.
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

// Share is a part of a weighted split.
type Share struct {
	// Service receives the part.
	Service string
	// Weight is the part's size relative to the others.
	Weight float64
}

// Route says how requests below a path of a host are served.
type Route struct {
	// Name is the operator's name for the route.
	Name string
	// Host and PathPrefix select the requests.
	Host, PathPrefix string
	// Kind says how often a request may run.
	Kind Kind
	// Timeout bounds the wait of the caller, retries included.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer is worth most.
	LatencyObjective time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Shares are the services; one of weight 1 where the route is not split.
	Shares []Share
	// MaxAttempts bounds the backend servers to which one request may be sent.
	MaxAttempts int
	// HomeRegions are the only regions that may serve the request; empty means
	// any.
	HomeRegions []string
}

// AllowedIn reports whether a request of the route may be served in the region.
func (r *Route) AllowedIn(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// Service is a group of equal backend servers.
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
	// ColdRate is the requests a second that a cold backend server tolerates.
	ColdRate float64
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	// MaxHeaderBytes and MaxBodyBytes bound a request, in bytes.
	MaxHeaderBytes, MaxBodyBytes int64
	// HeaderTimeout bounds the arrival of a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a kept connection may be idle.
	IdleTimeout time.Duration
}

// Configuration is a whole declared configuration.
type Configuration struct {
	// Version orders configurations; the highest is in force.
	Version uint64
	// Routes and Services are the declared ones.
	Routes   []Route
	Services []Service
	// Limits bound callers.
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
	places := map[[2]string]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.check(services); err != nil {
			return errors.Wrapf(err, "route %q", r.Name)
		}
		place := [2]string{r.Host, r.PathPrefix}
		if other, taken := places[place]; taken {
			return errors.Newf("routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.PathPrefix)
		}
		places[place] = r.Name
	}
	return nil
}

// check checks one route.
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
	total := 0.0
	for _, s := range r.Shares {
		if !services[s.Service] {
			return errors.Newf("service %q is unknown", s.Service)
		}
		if s.Weight < 0 {
			return errors.Newf("service %q has weight %g", s.Service, s.Weight)
		}
		total += s.Weight
	}
	if total <= 0 {
		return errors.New("all weights are zero")
	}
	return nil
}

// Index finds routes and services of a configuration.
type Index struct {
	config   *Configuration
	hosts    map[string][]*Route
	services map[string]*Service
}

// NewIndex indexes a configuration, which must not change afterwards.
func NewIndex(c *Configuration) *Index {
	x := &Index{config: c, hosts: map[string][]*Route{}, services: map[string]*Service{}}
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

// Find returns the route with the longest prefix of the path, or nil. Prefixes
// end with a slash, so each slash of the path is one look-up.
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

// Choose returns the service for a request of the route. The draw is from 0 to
// 1; equal draws choose alike.
func (r *Route) Choose(draw float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	left := draw * total
	for _, s := range r.Shares {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

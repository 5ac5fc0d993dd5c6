// Package fleet holds the settings of one process of a deployment and the bounds
// that the deployment guarantees. Nothing else about the deployment is configured:
// all processes discover each other through the seeds.
package fleet

import (
	"net/netip"
	"time"
)

// Host identifies the host on which the process runs.
type Host struct {
	// Name is the host's name, unique in the deployment.
	Name string
	// Address is the host's IP address.
	Address netip.Addr
	// AvailabilityZone and Region are where the host is located.
	AvailabilityZone, Region string
}

// Settings are the settings of one process.
type Settings struct {
	// Host is where the process runs.
	Host Host
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// CallerAddress is the listen address for callers; invalid on a control host.
	CallerAddress netip.AddrPort
	// ReadinessAddress is the listen address for the platform's readiness checks;
	// invalid on a control host.
	ReadinessAddress netip.AddrPort
	// ControlAddress is the listen address for operators and backend servers;
	// invalid on an entry.
	ControlAddress netip.AddrPort
	// PeerPort is the port on which control hosts listen for other processes.
	PeerPort uint16
	// MetricsPort is the port on the host's address that serves the metrics.
	MetricsPort uint16
	// Seeds are the addresses of some control hosts at the time when the settings
	// were written.
	Seeds []netip.AddrPort
	// FirstStart says that the whole deployment starts for the first time.
	FirstStart bool
	// DataFolder is the folder of the durable state; empty on hosts without a disk.
	DataFolder string
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// MaxDescriptors is the number of descriptors that the process may use for connections
	// and files of its own; 0 if it is not known.
	MaxDescriptors int
	// LinkBytesPerSecond is the bandwidth of the host's own network link; 0 if it is
	// not known.
	LinkBytesPerSecond int64
	// HeartbeatInterval is the time between two heartbeats of a backend server.
	HeartbeatInterval time.Duration
	// TolerableLosses is the number of control hosts that may fail at the same time.
	TolerableLosses int
	// Features are the parts of the system that the deployment calls for.
	Features Features
	// Bounds are the guarantees of the deployment.
	Bounds Bounds
}

// Features are the parts of the system that a deployment may call for.
type Features struct {
	// Rollouts is the guarded roll-out of new versions of services.
	Rollouts bool
	// ClientAccounts are the client accounts of a configuration, and AccountLimits their
	// request limits.
	ClientAccounts, AccountLimits bool
}

// Bounds are the guarantees of a deployment, as its settings state them.
type Bounds struct {
	// Drain is how long a backend server may still receive requests after its
	// deregistration was acknowledged.
	Drain time.Duration
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// ConfigurationApply is the maximum time between the acceptance of a
	// configuration and its application on all hosts.
	ConfigurationApply time.Duration
	// RetryRatio and RetryExtra bound the retries of a service within RetryWindow:
	// RetryRatio times its requests, plus RetryExtra.
	RetryRatio  float64
	RetryExtra  int
	RetryWindow time.Duration
	// ColdRateFactor and ColdSlack bound the requests per second that reach a cold
	// backend server: the rate that it tolerates times ColdRateFactor, plus
	// ColdSlack.
	ColdRateFactor, ColdSlack float64
	// HealthChecksPerSecond bounds the rate of health checks of one backend server.
	HealthChecksPerSecond float64
	// ExposureShare and ExposureSlack bound the requests that reach a new version of a service
	// that turns out to be bad: ExposureShare of the service's requests while it is rolled out,
	// plus ExposureSlack. Rollback is the time after its 50th bad response within which it
	// gets none.
	ExposureShare float64
	ExposureSlack int
	Rollback      time.Duration
	// StrictRevocation says that Revocation binds all hosts, also those that are cut off:
	// the time from the acknowledgement of a configuration that removes a key until no request
	// with that key runs.
	StrictRevocation bool
	Revocation       time.Duration
	// LimitWindow is the span over which the requests of a client account are counted,
	// LimitOvershoot the part by which they may exceed its limit, and LimitSlack a further number
	// of requests.
	LimitWindow    time.Duration
	LimitOvershoot float64
	LimitSlack     int
}

// DefaultBounds returns the bounds that apply where the settings state none.
func DefaultBounds() Bounds {
	return Bounds{
		Drain: 2 * time.Second, GracePeriod: 6 * time.Second, ConfigurationApply: 2 * time.Second,
		RetryRatio: 0.2, RetryExtra: 0, RetryWindow: 10 * time.Second,
		ColdRateFactor: 1, ColdSlack: 0, HealthChecksPerSecond: 1,
		LimitWindow: 5 * time.Second, LimitOvershoot: 0.1,
	}
}

// Voters returns the number of control hosts that must replicate the state so that
// a quorum remains after TolerableLosses hosts have failed.
func (s *Settings) Voters() int { return 2*s.TolerableLosses + 1 }

// SeedPeers returns the peer addresses of the seeds.
func (s *Settings) SeedPeers() []netip.AddrPort {
	var peers []netip.AddrPort
	for _, seed := range s.Seeds {
		peers = append(peers, netip.AddrPortFrom(seed.Addr(), s.PeerPort))
	}
	return peers
}

// MayBootstrap reports whether this host is the only seed that may bootstrap the
// replicated group: the seed with the lowest address. All hosts agree on it because
// they are configured with the same seeds at the first start.
func (s *Settings) MayBootstrap() bool {
	if len(s.Seeds) == 0 {
		return false
	}
	lowest := s.Seeds[0]
	for _, seed := range s.Seeds {
		if seed.Compare(lowest) < 0 {
			lowest = seed
		}
	}
	return lowest == s.ControlAddress
}

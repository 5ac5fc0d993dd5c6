// Package fleet holds what a process of a deployment is told about itself and
// the bounds it must keep. Nothing else about the deployment is configured: all
// processes find each other from the seeds.
package fleet

import (
	"net/netip"
	"time"
)

// Host is the place of this process.
type Host struct {
	// Name is the host's name, unique in the deployment.
	Name string
	// Address is the host's IP address.
	Address netip.Addr
	// AvailabilityZone and Region say where the host stands.
	AvailabilityZone, Region string
}

// Settings are the settings of one process.
type Settings struct {
	// Host is where the process runs.
	Host Host
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// CallerAddress is where callers connect; invalid on a control host.
	CallerAddress netip.AddrPort
	// ReadinessAddress is where the platform asks for readiness; invalid on a control
	// host.
	ReadinessAddress netip.AddrPort
	// ControlAddress is where operators and backend servers call; invalid on an entry.
	ControlAddress netip.AddrPort
	// PeerPort is the port on which control hosts listen for other processes.
	PeerPort uint16
	// MetricsPort is the port of the metrics on the host's address.
	MetricsPort uint16
	// Seeds are addresses of some control hosts at the time of writing.
	Seeds []netip.AddrPort
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
	// DataFolder keeps the durable state; empty on hosts without a disk.
	DataFolder string
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// LinkBytesPerSecond is what the host's own link carries, in bytes a second; 0 if that
	// is not known.
	LinkBytesPerSecond int64
	// HeartbeatInterval is the time between heartbeats of a backend server.
	HeartbeatInterval time.Duration
	// TolerableLosses is how many control hosts may be lost at once.
	TolerableLosses int
	// Bounds are what the deployment promises.
	Bounds Bounds
}

// Bounds are the promises of a deployment, as its settings state them.
type Bounds struct {
	// Drain is how long after the acknowledgement of its leaving a backend
	// server may still receive requests.
	Drain time.Duration
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// ConfigurationApply is how long an accepted configuration may take to be in
	// force everywhere.
	ConfigurationApply time.Duration
	// RetryRatio and RetryExtra bound the retries of a service within
	// RetryWindow: ratio times its requests, plus extra.
	RetryRatio  float64
	RetryExtra  int
	RetryWindow time.Duration
	// ColdRateFactor and ColdSlack bound the requests that reach a cold backend
	// server in a second: its own rate times the factor, plus the slack.
	ColdRateFactor, ColdSlack float64
	// HealthChecksPerSecond bounds the health checks of one backend server, a second.
	HealthChecksPerSecond float64
}

// DefaultBounds hold where the settings state none.
func DefaultBounds() Bounds {
	return Bounds{
		Drain: 2 * time.Second, GracePeriod: 6 * time.Second, ConfigurationApply: 2 * time.Second,
		RetryRatio: 0.2, RetryExtra: 0, RetryWindow: 10 * time.Second,
		ColdRateFactor: 1, ColdSlack: 0, HealthChecksPerSecond: 1,
	}
}

// Voters returns how many control hosts must hold the replicated state so that
// a quorum is left after the tolerable losses.
func (s *Settings) Voters() int { return 2*s.TolerableLosses + 1 }

// SeedPeers returns the peer addresses of the seeds.
func (s *Settings) SeedPeers() []netip.AddrPort {
	var peers []netip.AddrPort
	for _, seed := range s.Seeds {
		peers = append(peers, netip.AddrPortFrom(seed.Addr(), s.PeerPort))
	}
	return peers
}

// Founder reports whether this host is the one seed that may found the
// replicated group: the lowest address, which all hosts are told alike at the
// first start.
func (s *Settings) Founder() bool {
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

package settings

import (
	"net/netip"
	"time"
)

// Settings are the validated settings of one process.
type Settings struct {
	// Host is this process's own host, from section [host].
	Host Host
	// Regions maps each availability zone to its region, from section
	// [availability-zones].
	Regions map[string]string
	// EntryHosts are all entry hosts, from section [entry-hosts].
	EntryHosts []Host
	// ControlHosts are all control hosts, which are the voters of the replicated
	// state, from section [control-hosts].
	ControlHosts []Host
	// Entry holds section [entry].
	Entry Entry
	// Control holds section [control].
	Control Control
	// Access holds section [access].
	Access Access
	// Balance holds section [balance].
	Balance Balance
	// Limits holds section [limits].
	Limits Limits
}

// Host is one machine of the system.
type Host struct {
	// Name identifies the host among all hosts.
	Name string
	// AvailabilityZone is the availability zone in which the host is located.
	AvailabilityZone string
	// Peer is the address on which the host's process serves its peers.
	Peer netip.AddrPort
}

// Entry are the settings of an entry process.
type Entry struct {
	// CallerListen serves callers over HTTP.
	CallerListen netip.AddrPort
	// AdminListen serves announcements, readiness and metrics over HTTP.
	AdminListen netip.AddrPort
	// DataFolder holds the TLS files and the last configuration; empty if the
	// host has no disk.
	DataFolder string
	// MaxConfigurationAge is how long an entry continues to serve when its whole
	// region can't reach a control host; 0, the default, sets no limit.
	MaxConfigurationAge time.Duration
}

// Control are the settings of a control process.
type Control struct {
	// OperatorListen serves the administration API over HTTP.
	OperatorListen netip.AddrPort
	// DataFolder holds all files of the process.
	DataFolder string
}

// Access are the keys that peers, operators and backend servers present.
type Access struct {
	// PeerKey is presented between processes of the system.
	PeerKey string
	// OperatorKey is presented by operators.
	OperatorKey string
	// AnnounceKey is presented by backend servers; if it is empty, any server may
	// announce itself.
	AnnounceKey string
	// TLS are the files for TLS between processes and for operators.
	TLS TLSFiles
}

// TLSFiles are the paths of the TLS files below the data folder. Either all three
// are set or none.
type TLSFiles struct {
	// Certificate is the certificate chain of the host in PEM format.
	Certificate string
	// Key is the private key in PEM format.
	Key string
	// CA are the certificates of the certificate authorities in PEM format.
	CA string
}

// Enabled reports whether TLS is configured.
func (f TLSFiles) Enabled() bool { return f.Certificate != "" }

// Policy is the policy by which an entry chooses backend servers.
type Policy string

// The policies.
const (
	// PolicyAdaptive chooses by load, about which the entries of a region exchange
	// reports. It is the default.
	PolicyAdaptive Policy = "adaptive"
	// PolicyRoundRobin chooses servers in turn and without limits. It is a baseline
	// for comparisons.
	PolicyRoundRobin Policy = "round-robin"
)

// Balance configures how an entry chooses backend servers.
type Balance struct {
	// Policy is the policy for the choice; adaptive by default.
	Policy Policy
}

// Limits are the sizes, numbers and times that limit the requests, connections and
// shutdown of one entry process.
type Limits struct {
	// MaxHeaderBytes limits a request's header, in bytes; 16384 by default.
	MaxHeaderBytes int64
	// MaxBodyBytes limits a request's body, in bytes; 1073741824 by default.
	MaxBodyBytes int64
	// ReadHeaderTimeout limits the time to read a header; 5s by default.
	ReadHeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle caller connection is closed; 60s
	// by default.
	IdleTimeout time.Duration
	// RequestTimeout is the timeout of a request that specifies none; 30s by
	// default.
	RequestTimeout time.Duration
	// MaxConnections limits open caller connections; 20000 by default.
	MaxConnections int
	// MaxHeadMemory limits the memory of the decoded heads of all requests, in bytes; 64 MB by
	// default.
	MaxHeadMemory int64
	// DrainTimeout limits a graceful shutdown; 30s by default.
	DrainTimeout time.Duration
	// StopDelay is the time between an entry's becoming unready and the closing
	// of its listeners, so that the platform's load balancer notices; 5s by
	// default.
	StopDelay time.Duration
	// LeaseDuration is the duration of a backend server's lease; 3s by default.
	LeaseDuration time.Duration
}

// Region returns the region of this process's host.
func (s *Settings) Region() string { return s.Regions[s.Host.AvailabilityZone] }

// defaultLimits returns the limits for a file that sets none.
func defaultLimits() Limits {
	return Limits{
		MaxHeaderBytes:    16 << 10,
		MaxBodyBytes:      1 << 30,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       60 * time.Second,
		RequestTimeout:    30 * time.Second,
		MaxConnections:    20000,
		MaxHeadMemory:     64 << 20,
		DrainTimeout:      30 * time.Second,
		StopDelay:         5 * time.Second,
		LeaseDuration:     3 * time.Second,
	}
}

package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Role is the job of a process.
type Role string

// The roles of a process.
const (
	// RoleEntry serves callers.
	RoleEntry Role = "entry"
	// RoleControl is a voter of the replicated state.
	RoleControl Role = "control"
)

// Faults are all faults of one file.
type Faults []string

// Error returns one fault a line.
func (f Faults) Error() string { return strings.Join(f, "\n") }

// Load reads the file and checks it for the role that the file's [host]
// section names. It returns [Faults] if the file breaks a rule.
func Load(path string) (*Settings, Role, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, "", errors.Wrapf(err, "read settings %q", path)
	}
	return Parse(path, data)
}

// Parse checks settings that were read from the named file.
func Parse(name string, data []byte) (*Settings, Role, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, data)
	if err != nil {
		return nil, "", errors.Wrapf(err, "parse settings %q", name)
	}
	r := &reader{name: name, file: file, known: map[string]bool{}}
	s, role := r.read()
	r.reportUnknown()
	if len(r.faults) > 0 {
		return nil, "", r.faults
	}
	return s, role, nil
}

// openSections are the sections whose keys are names chosen by the operator.
var openSections = map[string]bool{
	"availability-zones": true,
	"entry-hosts":        true,
	"control-hosts":      true,
}

// reader collects values and faults of one file.
type reader struct {
	name   string
	file   *ini.File
	known  map[string]bool
	faults Faults
}

// read reads all sections.
func (r *reader) read() (*Settings, Role) {
	s := &Settings{Limits: defaultLimits()}
	s.Regions = r.regions()
	s.EntryHosts = r.hosts("entry-hosts", s.Regions)
	s.ControlHosts = r.hosts("control-hosts", s.Regions)
	role := Role(r.text("host", "role", true))
	s.Host = r.ownHost(role, s)
	r.access(&s.Access)
	r.limits(&s.Limits)
	s.Balance.Policy = r.policy()
	r.entryFolder(role, &s.Entry)
	switch role {
	case RoleEntry:
		s.Entry.CallerListen = r.address("entry", "caller-listen")
		s.Entry.AdminListen = r.address("entry", "admin-listen")
		r.tlsFiles(s.Entry.DataFolder, &s.Access.TLS)
		r.clash("entry", s.Entry.CallerListen, s.Entry.AdminListen, s.Host.Peer)
	case RoleControl:
		s.Control.OperatorListen = r.address("control", "operator-listen")
		s.Control.DataFolder = r.text("control", "data-folder", true)
		r.clash("control", s.Control.OperatorListen, s.Host.Peer)
		r.tlsFiles(s.Control.DataFolder, &s.Access.TLS)
	default:
		r.fault("host", "role", "is %q, want entry or control", string(role))
	}
	return s, role
}

// regions reads the availability zones and the region of each.
func (r *reader) regions() map[string]string {
	regions := map[string]string{}
	for _, k := range r.file.Section("availability-zones").Keys() {
		if k.String() == "" {
			r.fault("availability-zones", k.Name(), "names no region")
		}
		regions[k.Name()] = k.String()
	}
	if len(regions) == 0 {
		r.fault("availability-zones", "*", "no availability zone is listed")
	}
	return regions
}

// hosts reads lines of the form "name = address availability-zone".
func (r *reader) hosts(section string, regions map[string]string) []Host {
	var hosts []Host
	seen := map[netip.AddrPort]string{}
	for _, k := range r.file.Section(section).Keys() {
		h, ok := r.host(section, k, regions)
		if !ok {
			continue
		}
		if other, taken := seen[h.Peer]; taken {
			r.fault(section, h.Name, "address %s is also that of host %q", h.Peer, other)
		}
		seen[h.Peer] = h.Name
		hosts = append(hosts, h)
	}
	if len(hosts) == 0 {
		r.fault(section, "*", "no host is listed")
	}
	return hosts
}

// host reads one line of a hosts section.
func (r *reader) host(section string, k *ini.Key, regions map[string]string) (Host, bool) {
	fields := strings.Fields(k.String())
	if len(fields) != 2 {
		r.fault(section, k.Name(), "is %q, want an address and an availability zone", k.String())
		return Host{}, false
	}
	if _, ok := regions[fields[1]]; !ok {
		r.fault(section, k.Name(), "availability zone %q is not in [availability-zones]", fields[1])
	}
	peer, ok := r.parseAddress(section, k.Name(), fields[0])
	return Host{Name: k.Name(), AvailabilityZone: fields[1], Peer: peer}, ok
}

// ownHost finds this process's host among the listed ones.
func (r *reader) ownHost(role Role, s *Settings) Host {
	name := r.text("host", "name", true)
	hosts := s.EntryHosts
	if role == RoleControl {
		hosts = s.ControlHosts
	}
	for _, h := range hosts {
		if h.Name == name {
			return h
		}
	}
	r.fault("host", "name", "host %q is not listed among the %s hosts", name, string(role))
	return Host{}
}

// access reads section [access].
func (r *reader) access(a *Access) {
	a.PeerKey = r.text("access", "peer-key", true)
	a.OperatorKey = r.text("access", "operator-key", true)
	a.AnnounceKey = r.text("access", "announce-key", false)
}

// policy reads the policy of section [balance].
func (r *reader) policy() Policy {
	switch p := Policy(r.text("balance", "policy", false)); p {
	case "":
		return PolicyAdaptive
	case PolicyAdaptive, PolicyRoundRobin:
		return p
	default:
		r.fault("balance", "policy", "is %q, want adaptive or round-robin", string(p))
		return PolicyAdaptive
	}
}

// limits reads section [limits].
func (r *reader) limits(l *Limits) {
	r.bytes("max-header-bytes", &l.MaxHeaderBytes)
	r.bytes("max-body-bytes", &l.MaxBodyBytes)
	r.duration("read-header-timeout", &l.ReadHeaderTimeout)
	r.duration("idle-timeout", &l.IdleTimeout)
	r.duration("request-timeout", &l.RequestTimeout)
	r.duration("drain-timeout", &l.DrainTimeout)
	r.duration("stop-delay", &l.StopDelay)
	r.duration("lease-duration", &l.LeaseDuration)
	connections := int64(l.MaxConnections)
	r.bytes("max-connections", &connections)
	l.MaxConnections = int(connections)
}

// text reads a text value.
func (r *reader) text(section, key string, required bool) string {
	r.known[section+"."+key] = true
	v := r.file.Section(section).Key(key).String()
	if required && v == "" {
		r.fault(section, key, "is missing")
	}
	return v
}

// address reads a listen address.
func (r *reader) address(section, key string) netip.AddrPort {
	v := r.text(section, key, true)
	if v == "" {
		return netip.AddrPort{}
	}
	a, _ := r.parseAddress(section, key, v)
	return a
}

// parseAddress parses an IP address with a port.
func (r *reader) parseAddress(section, key, v string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 {
		r.fault(section, key, "%q is not an IP address with a port", v)
		return netip.AddrPort{}, false
	}
	return a, true
}

// bytes reads a positive whole number of section [limits].
func (r *reader) bytes(key string, into *int64) {
	if r.text("limits", key, false) == "" {
		return
	}
	n, err := r.file.Section("limits").Key(key).Int64()
	if err != nil || n <= 0 {
		r.fault("limits", key, "is not a positive whole number")
		return
	}
	*into = n
}

// duration reads a positive duration of section [limits].
func (r *reader) duration(key string, into *time.Duration) { r.durationOf("limits", key, into) }

// durationOf reads a positive duration.
func (r *reader) durationOf(section, key string, into *time.Duration) {
	v := r.text(section, key, false)
	if v == "" {
		return
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		r.fault(section, key, "%q is not a positive duration such as 5s or 200ms", v)
		return
	}
	*into = d
}

// clash reports addresses of one process that are equal.
func (r *reader) clash(section string, addresses ...netip.AddrPort) {
	seen := map[netip.AddrPort]bool{}
	for _, a := range addresses {
		if a.IsValid() && seen[a] {
			r.fault(section, "*", "address %s is used twice by this process", a)
		}
		seen[a] = true
	}
}

// reportUnknown reports every section and key that no reader asked for.
func (r *reader) reportUnknown() {
	for _, section := range r.file.Sections() {
		if openSections[section.Name()] {
			continue
		}
		for _, k := range section.Keys() {
			if !r.known[section.Name()+"."+k.Name()] {
				r.fault(section.Name(), k.Name(), "is not a known key for this role")
			}
		}
	}
}

// fault notes a broken rule.
func (r *reader) fault(section, key, format string, args ...any) {
	r.faults = append(r.faults, fmt.Sprintf("%s: [%s] %s: %s", r.name, section, key, fmt.Sprintf(format, args...)))
}

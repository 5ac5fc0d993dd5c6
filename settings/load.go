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

// Role is the function of a process in the system.
type Role string

// The roles of a process.
const (
	// RoleEntry is a process that serves callers.
	RoleEntry Role = "entry"
	// RoleControl is a process that votes on the replicated state.
	RoleControl Role = "control"
)

// ValidationErrors are all errors of one settings file.
type ValidationErrors []string

// Error returns the errors, one per line.
func (f ValidationErrors) Error() string { return strings.Join(f, "\n") }

// Load reads the settings file at path and validates it for the role in its [host]
// section. It returns [ValidationErrors] if the file is invalid.
func Load(path string) (*Settings, Role, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, "", errors.Wrapf(err, "read settings %q", path)
	}
	return Parse(path, data)
}

// Parse validates the content of a settings file. The errors contain
// the name of the file.
func Parse(name string, data []byte) (*Settings, Role, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, data)
	if err != nil {
		return nil, "", errors.Wrapf(err, "parse settings %q", name)
	}
	r := &reader{name: name, file: file, knownKeys: map[string]bool{}}
	s, role := r.read()
	r.reportUnknown()
	if len(r.errors) > 0 {
		return nil, "", r.errors
	}
	return s, role, nil
}

// freeFormSections are the sections whose keys are names chosen by the operator.
var freeFormSections = map[string]bool{
	"availability-zones": true,
	"entry-hosts":        true,
	"control-hosts":      true,
}

// reader reads the values of one file and collects its errors.
type reader struct {
	name      string
	file      *ini.File
	knownKeys map[string]bool
	errors    ValidationErrors
}

// read reads all sections that the role uses.
func (r *reader) read() (*Settings, Role) {
	s := &Settings{Limits: defaultLimits()}
	s.Regions = r.regions()
	s.EntryHosts = r.hosts("entry-hosts", s.Regions)
	s.ControlHosts = r.hosts("control-hosts", s.Regions)
	role := Role(r.value("host", "role", true))
	s.Host = r.ownHost(role, s)
	r.access(&s.Access)
	r.limits(&s.Limits)
	s.Balance.Policy = r.policy()
	r.entryStorage(role, &s.Entry)
	switch role {
	case RoleEntry:
		s.Entry.CallerListen = r.address("entry", "caller-listen")
		s.Entry.AdminListen = r.address("entry", "admin-listen")
		r.tlsFiles(s.Entry.DataFolder, &s.Access.TLS)
		r.checkDistinct("entry", s.Entry.CallerListen, s.Entry.AdminListen, s.Host.Peer)
	case RoleControl:
		s.Control.OperatorListen = r.address("control", "operator-listen")
		s.Control.DataFolder = r.value("control", "data-folder", true)
		r.checkDistinct("control", s.Control.OperatorListen, s.Host.Peer)
		r.tlsFiles(s.Control.DataFolder, &s.Access.TLS)
	default:
		r.addError("host", "role", "is %q, want entry or control", string(role))
	}
	return s, role
}

// regions reads the availability zones and their regions.
func (r *reader) regions() map[string]string {
	regions := map[string]string{}
	for _, k := range r.file.Section("availability-zones").Keys() {
		if k.String() == "" {
			r.addError("availability-zones", k.Name(), "names no region")
		}
		regions[k.Name()] = k.String()
	}
	if len(regions) == 0 {
		r.addError("availability-zones", "*", "no availability zone is listed")
	}
	return regions
}

// hosts reads lines of the form "name = address availability-zone".
func (r *reader) hosts(section string, regions map[string]string) []Host {
	var hosts []Host
	seen := map[netip.AddrPort]string{}
	for _, k := range r.file.Section(section).Keys() {
		h, ok := r.parseHost(section, k, regions)
		if !ok {
			continue
		}
		if otherHost, duplicate := seen[h.Peer]; duplicate {
			r.addError(section, h.Name, "address %s is also that of host %q", h.Peer, otherHost)
		}
		seen[h.Peer] = h.Name
		hosts = append(hosts, h)
	}
	if len(hosts) == 0 {
		r.addError(section, "*", "no host is listed")
	}
	return hosts
}

// parseHost reads one line of a hosts section.
func (r *reader) parseHost(section string, k *ini.Key, regions map[string]string) (Host, bool) {
	fields := strings.Fields(k.String())
	if len(fields) != 2 {
		r.addError(section, k.Name(), "is %q, want an address and an availability zone", k.String())
		return Host{}, false
	}
	if _, ok := regions[fields[1]]; !ok {
		r.addError(section, k.Name(), "availability zone %q is not in [availability-zones]", fields[1])
	}
	peer, ok := r.parseAddress(section, k.Name(), fields[0])
	return Host{Name: k.Name(), AvailabilityZone: fields[1], Peer: peer}, ok
}

// ownHost returns this process's host from the hosts of its role.
func (r *reader) ownHost(role Role, s *Settings) Host {
	name := r.value("host", "name", true)
	hosts := s.EntryHosts
	if role == RoleControl {
		hosts = s.ControlHosts
	}
	for _, h := range hosts {
		if h.Name == name {
			return h
		}
	}
	r.addError("host", "name", "host %q is not listed among the %s hosts", name, string(role))
	return Host{}
}

// access reads section [access].
func (r *reader) access(a *Access) {
	a.PeerKey = r.value("access", "peer-key", true)
	a.OperatorKey = r.value("access", "operator-key", true)
	a.AnnounceKey = r.value("access", "announce-key", false)
}

// policy reads the policy in section [balance].
func (r *reader) policy() Policy {
	switch p := Policy(r.value("balance", "policy", false)); p {
	case "":
		return PolicyAdaptive
	case PolicyAdaptive, PolicyRoundRobin:
		return p
	default:
		r.addError("balance", "policy", "is %q, want adaptive or round-robin", string(p))
		return PolicyAdaptive
	}
}

// limits reads section [limits].
func (r *reader) limits(l *Limits) {
	r.positiveInteger("max-header-bytes", &l.MaxHeaderBytes)
	r.positiveInteger("max-body-bytes", &l.MaxBodyBytes)
	r.limitDuration("read-header-timeout", &l.ReadHeaderTimeout)
	r.limitDuration("idle-timeout", &l.IdleTimeout)
	r.limitDuration("request-timeout", &l.RequestTimeout)
	r.limitDuration("drain-timeout", &l.DrainTimeout)
	r.limitDuration("stop-delay", &l.StopDelay)
	r.limitDuration("lease-duration", &l.LeaseDuration)
	r.positiveInteger("max-head-memory", &l.MaxHeadMemory)
	connections := int64(l.MaxConnections)
	r.positiveInteger("max-connections", &connections)
	l.MaxConnections = int(connections)
}

// value returns the text of a key and registers the key as known. It reports an
// error if a required key is missing or empty.
func (r *reader) value(section, key string, required bool) string {
	r.knownKeys[section+"."+key] = true
	v := r.file.Section(section).Key(key).String()
	if required && v == "" {
		r.addError(section, key, "is missing")
	}
	return v
}

// address reads a required listen address.
func (r *reader) address(section, key string) netip.AddrPort {
	v := r.value(section, key, true)
	if v == "" {
		return netip.AddrPort{}
	}
	a, _ := r.parseAddress(section, key, v)
	return a
}

// parseAddress parses an IP address with a port other than 0.
func (r *reader) parseAddress(section, key, v string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 {
		r.addError(section, key, "%q is not an IP address with a port", v)
		return netip.AddrPort{}, false
	}
	return a, true
}

// positiveInteger reads a positive integer in section [limits]. It leaves the
// target unchanged if the key is missing or invalid.
func (r *reader) positiveInteger(key string, target *int64) {
	if r.value("limits", key, false) == "" {
		return
	}
	n, err := r.file.Section("limits").Key(key).Int64()
	if err != nil || n <= 0 {
		r.addError("limits", key, "is not a positive whole number")
		return
	}
	*target = n
}

// limitDuration reads a positive duration in section [limits].
func (r *reader) limitDuration(key string, target *time.Duration) { r.duration("limits", key, target) }

// duration reads a positive duration. It leaves the target unchanged if the key is
// missing or invalid.
func (r *reader) duration(section, key string, target *time.Duration) {
	v := r.value(section, key, false)
	if v == "" {
		return
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		r.addError(section, key, "%q is not a positive duration such as 5s or 200ms", v)
		return
	}
	*target = d
}

// checkDistinct reports an error for each address that the process uses twice.
func (r *reader) checkDistinct(section string, addresses ...netip.AddrPort) {
	seen := map[netip.AddrPort]bool{}
	for _, a := range addresses {
		if a.IsValid() && seen[a] {
			r.addError(section, "*", "address %s is used twice by this process", a)
		}
		seen[a] = true
	}
}

// reportUnknown reports every key that was not read, such as a misspelled one.
func (r *reader) reportUnknown() {
	for _, section := range r.file.Sections() {
		if freeFormSections[section.Name()] {
			continue
		}
		for _, k := range section.Keys() {
			if !r.knownKeys[section.Name()+"."+k.Name()] {
				r.addError(section.Name(), k.Name(), "is not a known key for this role")
			}
		}
	}
}

// addError adds an error with the file, section and key.
func (r *reader) addError(section, key, format string, args ...any) {
	r.errors = append(r.errors, fmt.Sprintf("%s: [%s] %s: %s", r.name, section, key, fmt.Sprintf(format, args...)))
}

// Package cluster writes the settings files of a small system on loopback and
// runs its processes.
package cluster

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// The access keys of a system on loopback.
const (
	PeerKey     = "loopback-peer-key"
	OperatorKey = "loopback-operator-key"
	AnnounceKey = "loopback-announce-key"
)

// Process is one process of the system.
type Process struct {
	// Name is the name of the host.
	Name string
	// Zone is the availability zone of the host.
	Zone string
	// Peer, Caller, Admin and Operator are the listen addresses; those that the
	// role does not use are zero.
	Peer, Caller, Admin, Operator netip.AddrPort
	// SettingsFile is the path of its settings file.
	SettingsFile string
}

// System is a small system on loopback.
type System struct {
	// Folder contains the settings, logs and data of every process.
	Folder string
	// Zones maps each availability zone to its region.
	Zones map[string]string
	// Controls and Entries are the processes of each role.
	Controls, Entries []Process
}

// Size describes the number of processes of a system and their zones.
type Size struct {
	// Controls and Entries are the numbers of processes of each role.
	Controls, Entries int
	// Zones maps each availability zone to its region; processes are spread
	// over the zones in order of ZoneOrder.
	Zones map[string]string
	// ZoneOrder lists the keys of Zones.
	ZoneOrder []string
	// ExtraSettings is appended to every settings file.
	ExtraSettings string
}

// WriteSettings selects free ports and writes the settings files into folder.
func WriteSettings(folder string, size Size) (*System, error) {
	s := &System{Folder: folder, Zones: size.Zones}
	ports := &portReserver{}
	defer ports.release()
	for i := range size.Controls {
		p := Process{Name: fmt.Sprintf("control-%d", i+1), Zone: size.ZoneOrder[i%len(size.ZoneOrder)]}
		p.Peer, p.Operator = ports.reserve(), ports.reserve()
		s.Controls = append(s.Controls, p)
	}
	for i := range size.Entries {
		p := Process{Name: fmt.Sprintf("entry-%d", i+1), Zone: size.ZoneOrder[i%len(size.ZoneOrder)]}
		p.Peer, p.Caller, p.Admin = ports.reserve(), ports.reserve(), ports.reserve()
		s.Entries = append(s.Entries, p)
	}
	if ports.err != nil {
		return nil, ports.err
	}
	for i := range s.Controls {
		if err := s.writeSettingsFile(&s.Controls[i], "control", size); err != nil {
			return nil, err
		}
	}
	for i := range s.Entries {
		if err := s.writeSettingsFile(&s.Entries[i], "entry", size); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// AdminAddresses returns the admin addresses of all entries.
func (s *System) AdminAddresses() []string {
	var all []string
	for _, p := range s.Entries {
		all = append(all, p.Admin.String())
	}
	return all
}

// writeSettingsFile writes the settings file of one process.
func (s *System) writeSettingsFile(p *Process, role string, size Size) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[host]\nname = %s\nrole = %s\n\n[availability-zones]\n", p.Name, role)
	for _, zone := range size.ZoneOrder {
		fmt.Fprintf(&b, "%s = %s\n", zone, size.Zones[zone])
	}
	fmt.Fprint(&b, "\n[entry-hosts]\n")
	for _, e := range s.Entries {
		fmt.Fprintf(&b, "%s = %s %s\n", e.Name, e.Peer, e.Zone)
	}
	fmt.Fprint(&b, "\n[control-hosts]\n")
	for _, c := range s.Controls {
		fmt.Fprintf(&b, "%s = %s %s\n", c.Name, c.Peer, c.Zone)
	}
	if role == "control" {
		fmt.Fprintf(&b, "\n[control]\noperator-listen = %s\ndata-folder = %s\n",
			p.Operator, filepath.Join(s.Folder, p.Name))
	} else {
		fmt.Fprintf(&b, "\n[entry]\ncaller-listen = %s\nadmin-listen = %s\n", p.Caller, p.Admin)
	}
	fmt.Fprintf(&b, "\n[access]\npeer-key = %s\noperator-key = %s\nannounce-key = %s\n\n%s\n",
		PeerKey, OperatorKey, AnnounceKey, size.ExtraSettings)
	p.SettingsFile = filepath.Join(s.Folder, p.Name+".ini")
	return errors.Wrapf(os.WriteFile(p.SettingsFile, b.Bytes(), 0o600), "write settings of %q", p.Name)
}

// portReserver selects free loopback ports. It listens on each until all are
// selected, so that none is selected twice.
type portReserver struct {
	listeners []net.Listener
	err       error
}

// The range of the ports. It lies below the ephemeral range from which the
// operating system assigns the ports of outgoing connections, so that no such
// connection occupies a port before its process listens on it.
const (
	firstPort       = 12_000
	lastPort        = 32_000
	maxPortAttempts = 100
)

// reserve returns a free loopback address and keeps its port in use until release.
// On failure it sets p.err and returns the zero value.
func (p *portReserver) reserve() netip.AddrPort {
	for range maxPortAttempts {
		port := firstPort + rand.IntN(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		p.listeners = append(p.listeners, l)
		return l.Addr().(*net.TCPAddr).AddrPort()
	}
	p.err = errors.Newf("no port from %d to %d is free after %d attempts", firstPort, lastPort, maxPortAttempts)
	return netip.AddrPort{}
}

// release closes the listeners, so that the processes can use the ports.
func (p *portReserver) release() {
	for _, l := range p.listeners {
		_ = l.Close()
	}
}

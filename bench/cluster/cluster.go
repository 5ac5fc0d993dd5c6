// Package cluster writes the settings files of a small system on loopback.
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

// The keys of a system on loopback.
const (
	PeerKey     = "loopback-peer-key"
	OperatorKey = "loopback-operator-key"
	AnnounceKey = "loopback-announce-key"
)

// Process is one process of the system.
type Process struct {
	// Name is the host's name.
	Name string
	// Zone is the host's availability zone.
	Zone string
	// Peer, Caller, Admin and Operator are its listen addresses; those that its
	// role does not use are the zero value.
	Peer, Caller, Admin, Operator netip.AddrPort
	// SettingsFile is the path of its settings file.
	SettingsFile string
}

// System is a small system on loopback.
type System struct {
	// Folder holds every file.
	Folder string
	// Zones maps each availability zone to its region.
	Zones map[string]string
	// Controls and Entries are the processes.
	Controls, Entries []Process
}

// Size says how many processes a system has.
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

// WriteSettings picks free ports and writes the settings files below folder.
func WriteSettings(folder string, size Size) (*System, error) {
	s := &System{Folder: folder, Zones: size.Zones}
	ports := &ports{}
	defer ports.release()
	for i := range size.Controls {
		p := Process{Name: fmt.Sprintf("control-%d", i+1), Zone: size.ZoneOrder[i%len(size.ZoneOrder)]}
		p.Peer, p.Operator = ports.next(), ports.next()
		s.Controls = append(s.Controls, p)
	}
	for i := range size.Entries {
		p := Process{Name: fmt.Sprintf("entry-%d", i+1), Zone: size.ZoneOrder[i%len(size.ZoneOrder)]}
		p.Peer, p.Caller, p.Admin = ports.next(), ports.next(), ports.next()
		s.Entries = append(s.Entries, p)
	}
	if ports.err != nil {
		return nil, ports.err
	}
	for i := range s.Controls {
		if err := s.write(&s.Controls[i], "control", size); err != nil {
			return nil, err
		}
	}
	for i := range s.Entries {
		if err := s.write(&s.Entries[i], "entry", size); err != nil {
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

// write writes the settings file of one process.
func (s *System) write(p *Process, role string, size Size) error {
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

// ports hands out free loopback ports and holds them until all are chosen.
type ports struct {
	held []net.Listener
	err  error
}

// The range of the ports. It lies below the range from which the operating
// system takes the ports of outgoing connections, so that none of those takes a
// port before its process listens.
const (
	firstPort = 12_000
	lastPort  = 32_000
	portTries = 100
)

// next returns a free address.
func (p *ports) next() netip.AddrPort {
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		p.held = append(p.held, l)
		return l.Addr().(*net.TCPAddr).AddrPort()
	}
	p.err = errors.Newf("no port from %d to %d is free after %d tries", firstPort, lastPort, portTries)
	return netip.AddrPort{}
}

// release frees the ports for the processes.
func (p *ports) release() {
	for _, l := range p.held {
		_ = l.Close()
	}
}

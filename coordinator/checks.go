package coordinator

import (
	"cmp"
	"slices"

	"tanagerbarrow/protocol"
)

// mostChecks bounds the health checks of an entry to so many times its fair
// part before some move to others.
const mostChecks = 2

// checked is a server whose health checks are shared out.
type checked struct {
	number uint32
	zone   string
}

// shareChecks shares the health checks out and tells each entry that has others
// than before.
func (l *leader) shareChecks() {
	entries := map[string][]string{}
	for name, zone := range l.broker.Entries() {
		entries[zone] = append(entries[zone], name)
	}
	servers := make([]checked, 0, len(l.broker.Servers()))
	for _, s := range l.broker.Servers() {
		servers = append(servers, checked{s.Number, s.Record.AvailabilityZone})
	}
	next := assignChecks(l.checks, servers, entries)
	for name, w := range l.sessions {
		if slices.Equal(l.checks[name], next[name]) {
			continue
		}
		_ = w.conn.Send(protocol.KindCheckAssignment, protocol.CheckAssignment{Servers: next[name]})
	}
	l.checks = next
}

// assignChecks gives each server an entry of its own availability zone, where
// the bytes of a check cost nothing. An entry keeps what it has, because it
// learns in seconds when the pace of a server's machine changes; only what has
// lost its entry, is new, or is too much for one entry goes to the one with the
// fewest.
func assignChecks(before map[string][]uint32, servers []checked, entries map[string][]string) map[string][]uint32 {
	byZone := map[string][]uint32{}
	for _, s := range servers {
		byZone[s.zone] = append(byZone[s.zone], s.number)
	}
	next := map[string][]uint32{}
	for zone, names := range entries {
		assignZone(next, before, byZone[zone], names)
	}
	return next
}

// assignZone assigns the servers of one zone to its entries.
func assignZone(next, before map[string][]uint32, servers []uint32, names []string) {
	slices.Sort(names)
	slices.Sort(servers)
	fair := (len(servers) + len(names) - 1) / len(names)
	free := map[uint32]bool{}
	for _, number := range servers {
		free[number] = true
	}
	for _, name := range names {
		for _, number := range before[name] {
			if free[number] && len(next[name]) < mostChecks*fair {
				next[name] = append(next[name], number)
				delete(free, number)
			}
		}
	}
	for _, number := range servers {
		if free[number] {
			name := slices.MinFunc(names, func(a, b string) int { return cmp.Compare(len(next[a]), len(next[b])) })
			next[name] = append(next[name], number)
		}
	}
}

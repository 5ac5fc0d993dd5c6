package coordinator

import (
	"cmp"
	"maps"
	"slices"

	"tanagerbarrow/protocol"
)

// maxFairShares bounds the health checks that an entry keeps, as a multiple of
// its fair share. Those in excess move to other entries.
const maxFairShares = 2

// checkedServer is a backend server whose health checks are assigned to an
// entry.
type checkedServer struct {
	number uint32
	zone   string
}

// distributeChecks assigns the health checks of all servers to entries and sends
// its new list to each entry whose list has changed.
func (l *leader) distributeChecks() {
	entries := map[string][]string{}
	for name, zone := range l.broker.Entries() {
		entries[zone] = append(entries[zone], name)
	}
	servers := make([]checkedServer, 0, len(l.broker.Servers()))
	for _, s := range l.broker.Servers() {
		servers = append(servers, checkedServer{s.Number, s.Record.AvailabilityZone})
	}
	next := assignChecks(l.assignedChecks, servers, entries, l.c.options.Settings.Regions)
	for name, in := range l.sessions {
		if slices.Equal(l.assignedChecks[name], next[name]) {
			continue
		}
		_ = in.conn.Send(protocol.KindCheckAssignment, protocol.CheckAssignment{Servers: next[name]})
	}
	l.assignedChecks = next
}

// assignChecks assigns each server to an entry of its own availability zone,
// where the traffic of a check costs nothing. An entry keeps its servers,
// because it takes seconds of checks to detect that the pace of a server's host
// has changed. Only a server that is new, has lost its entry or exceeds the
// bound of its entry is assigned to the entry with the fewest. Servers of a zone
// without entries are assigned to those of its region or, if there are none
// either, to all.
func assignChecks(previous map[string][]uint32, servers []checkedServer, entries map[string][]string, regions map[string]string) map[string][]uint32 {
	byZone := map[string][]uint32{}
	for _, s := range servers {
		byZone[s.zone] = append(byZone[s.zone], s.number)
	}
	next := map[string][]uint32{}
	for zone, names := range entries {
		assignZoneChecks(next, previous, byZone[zone], names)
	}
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		if len(entries[zone]) > 0 {
			continue
		}
		var sameRegion, all []string
		for other, names := range entries {
			all = append(all, names...)
			if regions[other] == regions[zone] {
				sameRegion = append(sameRegion, names...)
			}
		}
		if len(sameRegion) == 0 {
			sameRegion = all
		}
		if len(sameRegion) > 0 {
			assignZoneChecks(next, previous, byZone[zone], sameRegion)
		}
	}
	return next
}

// assignZoneChecks assigns the servers of one zone to its entries.
func assignZoneChecks(next, previous map[string][]uint32, servers []uint32, names []string) {
	slices.Sort(names)
	slices.Sort(servers)
	fairShare := (len(servers) + len(names) - 1) / len(names)
	unassigned := map[uint32]bool{}
	for _, number := range servers {
		unassigned[number] = true
	}
	for _, name := range names {
		others := len(next[name])
		for _, number := range previous[name] {
			if unassigned[number] && len(next[name])-others < maxFairShares*fairShare {
				next[name] = append(next[name], number)
				delete(unassigned, number)
			}
		}
	}
	for _, number := range servers {
		if unassigned[number] {
			name := slices.MinFunc(names, func(a, b string) int { return cmp.Compare(len(next[a]), len(next[b])) })
			next[name] = append(next[name], number)
		}
	}
}

package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerbarrow/broker"
	"tanagerbarrow/protocol"
)

// relaysPerRegion is how many relays of each region an entry knows for the time without a
// broker. A whole zone may lose its servers, so that they are of several zones if possible.
const relaysPerRegion = 3

// relaySendPeriod is how often entries are sent their relays. While a deployment starts,
// one message then covers many changes.
const relaySendPeriod = 2 * time.Second

// setPath records an entry's path to the backend servers. An entry that stops relays no
// further requests.
func (l *leader) setPath(name string, p protocol.Path, now time.Time) {
	if p.Stopping {
		l.broker.SetRelayAddress(name, "")
	}
	l.broker.SetPath(name, p.Lost, now)
}

// changePath applies a change of an entry's path, and has the entries that reach the
// servers check them.
func (l *leader) changePath(name string, p protocol.Path, now time.Time) {
	l.log.Warn().Str("event", "entry_path").Str("entry", name).Bool("lost", p.Lost).Bool("stopping", p.Stopping).Send()
	l.setPath(name, p, now)
	l.sessionsAdded = true
}

// sendRelays sends each entry the relays that it may use without a broker, if they have
// changed.
func (l *leader) sendRelays(now time.Time) {
	if now.Sub(l.relaysSentAt) < relaySendPeriod {
		return
	}
	l.relaysSentAt = now
	all := l.broker.Relays()
	changed := !maps.Equal(all, l.relays)
	l.relays = all
	ring := relayRing(all)
	for name, in := range l.sessions {
		if _, sent := l.sentRelays[name]; sent && !changed {
			continue
		}
		relays := chooseRelays(name, ring, all, l.c.options.Settings.Regions)
		if slices.Equal(relays, l.sentRelays[name]) {
			continue
		}
		l.sentRelays[name] = relays
		_ = in.conn.Send(protocol.KindRelays, relays)
	}
}

// ringHash is the position of an entry on the ring of relays.
func ringHash(name string) uint64 { return xxhash.Sum64String(name) }

// relayRing returns the names of all relays in the order of their positions.
func relayRing(all map[string]broker.Relay) []string {
	return slices.SortedFunc(maps.Keys(all), func(a, b string) int {
		return cmp.Or(cmp.Compare(ringHash(a), ringHash(b)), cmp.Compare(a, b))
	})
}

// chooseRelays returns the relays of an entry: the next ones on the ring, in each region at
// most relaysPerRegion, of different zones as far as possible. Each entry has others, and
// keeps them as long as they relay.
func chooseRelays(name string, ring []string, all map[string]broker.Relay, regions map[string]string) []protocol.Relay {
	first, _ := slices.BinarySearchFunc(ring, ringHash(name), func(a string, position uint64) int {
		return cmp.Compare(ringHash(a), position)
	})
	perRegion, perZone := map[string]int{}, map[string]int{}
	var relays []protocol.Relay
	for sameZone := range relaysPerRegion {
		for n := range ring {
			other := ring[(first+n)%len(ring)]
			relay := protocol.Relay{Address: all[other].Address, AvailabilityZone: all[other].AvailabilityZone}
			region := regions[relay.AvailabilityZone]
			if other == name || perRegion[region] >= relaysPerRegion || perZone[relay.AvailabilityZone] > sameZone ||
				slices.Contains(relays, relay) {
				continue
			}
			perRegion[region]++
			perZone[relay.AvailabilityZone]++
			relays = append(relays, relay)
		}
	}
	return relays
}

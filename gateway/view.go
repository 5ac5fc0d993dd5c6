package gateway

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/broker"
	"tanagerbarrow/declare"
	"tanagerbarrow/membership"
	"tanagerbarrow/protocol"
	"tanagerbarrow/route"
)

// server is this entry's state of a backend server.
type server struct {
	protocol.Server

	endpoint  *membership.BackendServer
	region    string
	coldUntil time.Time
	// running counts this entry's requests that run on the server.
	running int
	// avoidUntil is until when the entry itself chooses other servers, after a
	// request of this entry failed on the server.
	avoidUntil time.Time
	// limit is the server's request limit, and limitedSends what this entry sent to the
	// server under it.
	limit        broker.RequestLimit
	limitedSends limitedSends
	// limitTurn is when the entry may use the limited server without a broker.
	limitTurn limitTurn
}

// view is the state that the entry last received from the broker. It is safe for
// concurrent use.
type view struct {
	decode  func([]byte) (*route.Configuration, error)
	regions map[string]string

	mu    sync.Mutex
	term  uint64
	index *route.Index
	// configured is closed once there is a configuration.
	configured           chan struct{}
	encodedConfiguration []byte
	// servers are the known servers by their numbers, which serversTerm's broker gave them.
	servers     map[uint32]*server
	serversTerm uint64
	zonesOut    []string
	// entries is the number of entries that the broker last knew.
	entries int
	// relays are the entries that may relay requests without a broker.
	relays []protocol.Relay
	// backoffs are the servers that want nothing of this entry for a time.
	backoffs backoffs
	// rollouts are the rules about servers of services with a roll-out, and nextRollouts those of
	// a session whose full view has not arrived yet; nil if there is none.
	rollouts, nextRollouts *rolloutRules
	// departures are the servers that have said that they leave.
	departures departures
}

// newView returns a view without a configuration.
func newView(decode func([]byte) (*route.Configuration, error), regions map[string]string) *view {
	return &view{decode: decode, regions: regions, servers: map[uint32]*server{}, configured: make(chan struct{}), backoffs: backoffs{}, departures: departures{}, rollouts: newRolloutRules()}
}

// configuration returns the configuration in force, or nil before the first.
func (v *view) configuration() *route.Index {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.index
}

// awaitConfiguration waits for the first configuration, at most for
// firstConfigurationWait.
func (v *view) awaitConfiguration(ctx context.Context) {
	if v.configuration() != nil {
		return
	}
	timeout := time.NewTimer(firstConfigurationWait)
	defer timeout.Stop()
	select {
	case <-v.configured:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// version returns the version of the configuration in force, or 0 if there is
// none.
func (v *view) version() uint64 {
	if x := v.configuration(); x != nil {
		return x.Configuration().Version
	}
	return 0
}

// beginTerm sets the broker's term. It returns false if a newer term was seen.
func (v *view) beginTerm(term uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if term < v.term {
		return false
	}
	v.term = term
	return true
}

// currentTerm returns the term of the broker that sent the view.
func (v *view) currentTerm() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.term
}

// applyDocument puts a newer configuration in force and ignores an older one. It
// returns an error if the document is a delta to a version that is not in force,
// or can't be unpacked or decoded.
func (v *view) applyDocument(d protocol.Document) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	currentVersion := uint64(0)
	if v.index != nil {
		currentVersion = v.index.Configuration().Version
	}
	if d.Version <= currentVersion {
		return nil
	}
	var base []byte
	if d.BaseVersion != 0 {
		if d.BaseVersion != currentVersion {
			return errors.Newf("configuration %d is a delta to version %d, but version %d is in force", d.Version, d.BaseVersion, currentVersion)
		}
		base = v.encodedConfiguration
	}
	content, err := declare.Unpack(d.Packed, base)
	if err != nil {
		return err
	}
	config, err := v.decode(content)
	if err != nil {
		return err
	}
	if v.index == nil {
		close(v.configured)
	}
	v.encodedConfiguration, v.index = content, route.NewIndex(config)
	return nil
}

// applyView applies changes of servers and availability zones. It skips servers
// whose address can't be parsed.
func (v *view) applyView(m protocol.View, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.forgetEnded(m, now)
	v.zonesOut, v.entries = m.ZonesOut, m.Entries
	previous := v.servers
	if m.Full {
		v.servers, v.serversTerm = map[uint32]*server{}, v.term
		v.useNextRollouts()
	}
	for _, n := range m.Removed {
		delete(v.servers, n)
	}
	for _, s := range m.Servers {
		address, err := netip.ParseAddrPort(s.Address)
		if err != nil {
			continue
		}
		next := &server{
			Server: s, region: v.regions[s.AvailabilityZone],
			endpoint:  &membership.BackendServer{Service: s.Service, Address: address},
			coldUntil: now.Add(time.Duration(s.ColdMillis) * time.Millisecond),
		}
		if old := previous[s.Number]; old != nil && old.ID == s.ID {
			next.running, next.avoidUntil = old.running, old.avoidUntil
			next.limitedSends, next.limitTurn = old.limitedSends, old.limitTurn
		}
		if s.Limit != nil {
			next.limit = *s.Limit
		}
		v.servers[s.Number] = next
	}
}

// server returns the server with the given number, or nil.
func (v *view) server(number uint32) *server {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.servers[number]
}

// isZoneOut reports whether an availability zone is excluded from receiving
// requests. The caller holds the lock.
func (v *view) isZoneOut(zone string) bool { return slices.Contains(v.zonesOut, zone) }

// setCold sets for how much longer a server stays cold.
func (v *view) setCold(s *server, cold time.Duration, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s.coldUntil = now.Add(cold)
}

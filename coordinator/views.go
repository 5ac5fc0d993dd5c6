package coordinator

import (
	"time"

	"tanagerbarrow/broker"
	"tanagerbarrow/protocol"
)

// maxRemoteServers is how many servers of a service in other regions an entry
// knows before it is granted one: enough to continue without a broker after its
// own region has lost the service.
const maxRemoteServers = 4

// entryView holds which servers one entry has been sent. Entries times servers
// grows fastest in a deployment, so each entry is sent the servers of its region
// and a few others; it is sent any other server with the first grant for it.
type entryView struct {
	region string
	// known maps the number of each known server to its service, or to "" if the
	// server is in the entry's region.
	known map[uint32]string
	// remoteCount counts the known servers of other regions by service.
	remoteCount map[string]int
}

// newEntryView returns the empty view of an entry in a region.
func newEntryView(region string) *entryView {
	return &entryView{region: region, known: map[uint32]string{}, remoteCount: map[string]int{}}
}

// add records that the entry is sent a server.
func (s *entryView) add(server *broker.Server) {
	if _, known := s.known[server.Number]; known {
		return
	}
	if server.Region == s.region {
		s.known[server.Number] = ""
		return
	}
	s.known[server.Number] = server.Record.Service
	s.remoteCount[server.Record.Service]++
}

// includes reports whether the entry is sent a server that is new or has
// changed.
func (s *entryView) includes(server *broker.Server) bool {
	_, known := s.known[server.Number]
	return known || server.Region == s.region || s.remoteCount[server.Record.Service] < maxRemoteServers
}

// remove removes a server that is gone and reports whether the entry knew it.
func (s *entryView) remove(number uint32) bool {
	service, known := s.known[number]
	if service != "" {
		s.remoteCount[service]--
	}
	delete(s.known, number)
	return known
}

// update applies a change to the view and returns the part of it that is sent to
// the entry.
func (s *entryView) update(servers []*broker.Server, gone []uint32, now time.Time) protocol.View {
	var view protocol.View
	for _, number := range gone {
		if s.remove(number) {
			view.Removed = append(view.Removed, number)
		}
	}
	for _, server := range servers {
		if s.includes(server) {
			s.add(server)
			view.Servers = append(view.Servers, serverToWire(server, now))
		}
	}
	return view
}

// sendChanges sends each entry the part of a change that concerns it. A change
// of the zones or of the number of entries concerns all entries.
func (l *leader) sendChanges(servers []*broker.Server, gone []uint32, toAll bool, now time.Time) {
	l.refreshRollouts()
	out := l.zonesOut()
	for name, in := range l.sessions {
		view := l.views[name].update(servers, gone, now)
		if !toAll && len(view.Servers) == 0 && len(view.Removed) == 0 {
			continue
		}
		view.ZonesOut, view.Entries = out, len(l.sessions)
		l.sendView(in, view)
	}
}

// sendLimits sends the entries the request limits that have changed. An entry without a
// broker keeps to its part of a limit, so it also needs to know how many entries there are.
func (l *leader) sendLimits(now time.Time) {
	changed := l.broker.TakeLimitChanges()
	for _, s := range changed {
		limit := s.Limit()
		l.log.Info().Str("event", "server_limit").Str("server", s.Record.ID).Str("service", s.Record.Service).
			Bool("limited", limit.Limited()).Float64("per_second", limit.PerSecond).Send()
	}
	countChanged := differByMuch(l.sentEntryCount, len(l.sessions))
	if len(changed) > 0 || countChanged {
		l.sentEntryCount = len(l.sessions)
		l.sendChanges(changed, nil, countChanged, now)
	}
}

// differByMuch reports whether two numbers of entries differ by more than a tenth.
func differByMuch(a, b int) bool { return 10*max(a-b, b-a) > max(a, b) }

// sendFullView sends its whole view to an entry that has just subscribed.
func (l *leader) sendFullView(name string, in *inboundLink, now time.Time) {
	s := newEntryView(l.c.options.Settings.Regions[in.hello.AvailabilityZone])
	l.views[name] = s
	servers := make([]*broker.Server, 0, len(l.broker.Servers()))
	for _, server := range l.broker.Servers() {
		servers = append(servers, server)
	}
	view := s.update(servers, nil, now)
	view.Full, view.ZonesOut, view.Entries = true, l.zonesOut(), len(l.sessions)
	l.sendView(in, view)
}

// sendGrantedServer sends an entry a server that it is granted and doesn't know.
func (l *leader) sendGrantedServer(name string, in *inboundLink, server *broker.Server, now time.Time) {
	s := l.views[name]
	if _, known := s.known[server.Number]; known {
		return
	}
	s.add(server)
	l.sendView(in, protocol.View{
		Servers: []protocol.Server{serverToWire(server, now)}, ZonesOut: l.zonesOut(), Entries: len(l.sessions),
	})
}

package coordinator

import (
	"time"

	"tanagerbarrow/broker"
	"tanagerbarrow/protocol"
)

// farServers is how many servers of a service in other regions an entry knows
// before it is granted one: enough to go on without a broker after its own region
// has lost the service.
const farServers = 4

// sight is what one entry has been told of the servers. Entries times servers is
// what grows fastest in a deployment, so that each is told of those in its region
// and of a few others; the rest come with the first grant.
type sight struct {
	region string
	// knows maps the known servers to their service, and to "" within the region.
	knows map[uint32]string
	// far counts the known servers of other regions for each service.
	far map[string]int
}

// newSight returns the sight of an entry that knows nothing.
func newSight(region string) *sight {
	return &sight{region: region, knows: map[uint32]string{}, far: map[string]int{}}
}

// learn notes that the entry is told of a server.
func (s *sight) learn(server *broker.Server) {
	if _, known := s.knows[server.Number]; known {
		return
	}
	if server.Region == s.region {
		s.knows[server.Number] = ""
		return
	}
	s.knows[server.Number] = server.Record.Service
	s.far[server.Record.Service]++
}

// wants reports whether the entry is told of a server that is new or has changed.
func (s *sight) wants(server *broker.Server) bool {
	_, known := s.knows[server.Number]
	return known || server.Region == s.region || s.far[server.Record.Service] < farServers
}

// forget reports whether the entry knows a server that is gone, and drops it.
func (s *sight) forget(number uint32) bool {
	service, known := s.knows[number]
	if service != "" {
		s.far[service]--
	}
	delete(s.knows, number)
	return known
}

// pick returns the part of a change that concerns the entry, and notes it.
func (s *sight) pick(servers []*broker.Server, gone []uint32, now time.Time) protocol.View {
	var view protocol.View
	for _, number := range gone {
		if s.forget(number) {
			view.Removed = append(view.Removed, number)
		}
	}
	for _, server := range servers {
		if s.wants(server) {
			s.learn(server)
			view.Servers = append(view.Servers, viewOf(server, now))
		}
	}
	return view
}

// tell tells each entry what concerns it of a change. A change of the zones
// concerns all.
func (l *leader) tell(servers []*broker.Server, gone []uint32, zones bool, now time.Time) {
	out := l.zonesOut()
	for name, w := range l.sessions {
		view := l.sights[name].pick(servers, gone, now)
		if !zones && len(view.Servers) == 0 && len(view.Removed) == 0 {
			continue
		}
		view.ZonesOut = out
		_ = w.conn.Send(protocol.KindView, view)
	}
}

// tellAll tells an entry that has just connected what it is to know.
func (l *leader) tellAll(name string, w *watcher, now time.Time) {
	s := newSight(l.c.options.Settings.Regions[w.hello.AvailabilityZone])
	l.sights[name] = s
	servers := make([]*broker.Server, 0, len(l.broker.Servers()))
	for _, server := range l.broker.Servers() {
		servers = append(servers, server)
	}
	view := s.pick(servers, nil, now)
	view.Full, view.ZonesOut = true, l.zonesOut()
	_ = w.conn.Send(protocol.KindView, view)
}

// tellGranted tells an entry of a server that it is granted and does not know.
func (l *leader) tellGranted(name string, w *watcher, server *broker.Server, now time.Time) {
	s := l.sights[name]
	if _, known := s.knows[server.Number]; known {
		return
	}
	s.learn(server)
	_ = w.conn.Send(protocol.KindView, protocol.View{
		Servers: []protocol.Server{viewOf(server, now)}, ZonesOut: l.zonesOut(),
	})
}

package gateway

import (
	"net/http"
	"time"

	"tanagerbarrow/backend"
	"tanagerbarrow/protocol"
)

// departure is what an entry knows of a server that has said in a response that it leaves.
type departure struct {
	// number is the server's number under the current broker; 0 if that is not known.
	number uint32
	term   uint64
	// lastSureAt is when the departure was last known to be that of the start that runs now.
	lastSureAt time.Time
}

// departures holds, by server identifier, the servers that have said in a response that they
// leave. It reads no clock.
type departures map[string]departure

// departureRetention is how long a departure outlasts the broker under which the server has announced
// it. By then the next one knows of it; the server may have restarted meanwhile.
const departureRetention = 30 * time.Second

// leaving reports whether a server has said that it leaves, given the term of the known servers.
func (d departures) leaving(server string, term uint64, now time.Time) bool {
	known, ok := d[server]
	return ok && (known.term == term || now.Sub(known.lastSureAt) < departureRetention)
}

// saysItLeaves reports whether a response is the expected server's and says that it leaves.
func saysItLeaves(s *server, status int, report backend.Report) bool {
	otherServer := status == http.StatusMisdirectedRequest || report.ServerID != "" && report.ServerID != s.ID
	return report.Leaving && !otherServer
}

// observeLeaving records whether a response of a server says that it leaves.
func (g *Gateway) observeLeaving(s *server, status int, report backend.Report, kind sendKind) {
	if !saysItLeaves(s, status, report) {
		return
	}
	d, isNew := g.view.recordDeparture(s, time.Now())
	if !isNew {
		return
	}
	g.session.reportLeaving(s.ID, d)
	g.log.Info().Str("event", "server_leaving").Str("server", s.ID).Str("service", s.Service).Str("source", string(kind)).Send()
}

// recordDeparture records that a server leaves, and reports whether that was not known in this
// term.
func (v *view) recordDeparture(s *server, now time.Time) (d departure, isNew bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known, ok := v.departures[s.ID]; ok && known.term == v.serversTerm {
		return known, false
	}
	d = departure{lastSureAt: now}
	// The request may have been sent under the broker before, whose numbers mean nothing now.
	if current := v.servers[s.Number]; current != nil && current.ID == s.ID {
		d.number, d.term = s.Number, v.serversTerm
	}
	v.departures[s.ID] = d
	return d, true
}

// currentDepartures returns the departures that servers of the current view have announced.
func (v *view) currentDepartures() departures {
	v.mu.Lock()
	defer v.mu.Unlock()
	current := departures{}
	for id, d := range v.departures {
		if d.term == v.serversTerm {
			current[id] = d
		}
	}
	return current
}

// wire encodes a departure for the broker.
func (d departure) wire(serverID string) protocol.Leaving {
	return protocol.Leaving{ServerID: serverID, Number: d.number, Term: d.term}
}

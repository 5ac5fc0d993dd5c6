package gateway

import (
	"net/http"
	"time"

	"tanagerbarrow/backend"
	"tanagerbarrow/protocol"
)

// departure is what an entry knows of a server that has said in a response that it leaves.
type departure struct {
	// number is the server's number in the term of a broker.
	number uint32
	term   uint64
	// announcedAt is when the server first said so, to this entry.
	announcedAt time.Time
}

// departures holds, by server identifier, the servers that have said in a response that they
// leave. It reads no clock.
type departures map[string]departure

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
	g.view.mu.Lock()
	d, known := g.view.departures[s.ID]
	if !known {
		d = departure{number: s.Number, term: g.view.serversTerm, announcedAt: time.Now()}
		g.view.departures[s.ID] = d
	}
	g.view.mu.Unlock()
	if known {
		return
	}
	g.session.reportLeaving(s.ID, d)
	g.log.Info().Str("event", "server_leaving").Str("server", s.ID).Str("service", s.Service).Str("source", string(kind)).Send()
}

// logLateRequest logs a request that is sent to a server after it has said that it leaves.
func (g *Gateway) logLateRequest(k *callerRequest, s *server) {
	g.view.mu.Lock()
	d, known := g.view.departures[s.ID]
	g.view.mu.Unlock()
	if known {
		g.failureLog.Warn().Str("event", "sent_to_leaving_server").Str("request_id", k.id).Str("server", s.ID).
			Dur("after_ms", time.Since(d.announcedAt)).Send()
	}
}

// wire encodes a departure for the broker.
func (d departure) wire(serverID string) protocol.Leaving {
	return protocol.Leaving{ServerID: serverID, Number: d.number, Term: d.term}
}

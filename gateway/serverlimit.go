package gateway

import (
	"fmt"
	"time"

	"tanagerbarrow/backend"
	"tanagerbarrow/broker"
)

// limitLogInterval is the least time between two log lines about the requests and
// checks that this entry sent to one limited server.
const limitLogInterval = 4 * time.Second

// limitedSends counts what this entry sent to a server since its last log line, while
// the entry knew of the server's limit.
type limitedSends struct {
	requests, checks int
	loggedAt         time.Time
}

// limitReport returns what a response says about its server's request limit, or nil if
// it named none and the entry knows of none. Only a complete success shows that the
// server no longer has a limit.
func (v *view) limitReport(s *server, report backend.Report, source broker.LimitSource, success bool) *broker.LimitReport {
	v.mu.Lock()
	defer v.mu.Unlock()
	otherServer := report.ServerID != "" && report.ServerID != s.ID
	if otherServer || (!report.Limited && (!success || !s.limit.Limited())) {
		return nil
	}
	return &broker.LimitReport{Source: source, Named: report.Limited, PerSecond: report.RequestLimit}
}

// recordLimit applies a response's report to the entry's state of the server, and logs
// a change of the limit and what the entry sent meanwhile.
func (g *Gateway) recordLimit(s *server, r *broker.LimitReport, source broker.LimitSource, now time.Time) {
	g.view.mu.Lock()
	changed := r != nil && s.limit.Update(*r)
	limit := s.limit
	if limit.Limited() && source == broker.LimitFromRequests {
		s.limitedSends.requests++
	}
	if limit.Limited() && source == broker.LimitFromChecks {
		s.limitedSends.checks++
	}
	sent := s.limitedSends
	limited := limit.Limited()
	due := changed || (limit.Limited() && now.Sub(sent.loggedAt) >= limitLogInterval)
	if due {
		s.limitedSends = limitedSends{loggedAt: now}
	}
	g.view.mu.Unlock()
	if limited {
		g.options.Metrics.GetOrCreateCounter(fmt.Sprintf("tanagerbarrow_limited_server_sends_total{kind=%q}", source)).Inc()
	}
	if !due {
		return
	}
	g.log.Info().Str("event", "server_limit").Str("server", s.ID).Str("service", s.Service).
		Bool("limited", limit.Limited()).Float64("per_second", limit.PerSecond).Stringer("source", source).
		Int("requests", sent.requests).Int("checks", sent.checks).Send()
}

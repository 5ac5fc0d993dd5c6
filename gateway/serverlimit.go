package gateway

import (
	"fmt"
	"time"

	"tanagerbarrow/backend"
	"tanagerbarrow/broker"
)

// The constants of request limits.
const (
	// limitTurnLifetime is how long an entry without a broker may use its turn at a
	// limited server. Turns that all entries missed together would otherwise add up.
	limitTurnLifetime = time.Second
	// limitCheckShare is how often a server is checked, as a part of its request limit.
	limitCheckShare = 0.25
	// maxLimitedCheckInterval bounds the time between two checks of a limited server.
	maxLimitedCheckInterval = 4 * time.Second
	// limitLogInterval is the least time between two log lines about the requests and
	// checks that this entry sent to one limited server.
	limitLogInterval = 4 * time.Second
)

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

// limitTurn is when an entry without a broker may next send a request to a limited
// server; the zero value is not drawn yet. All entries together keep to the limit,
// because each sends one request in the time in which the limit allows one for each
// entry, and begins at a random moment of that time.
type limitTurn struct{ next time.Time }

// take reports whether the turn has come, and takes it. Random is from 0 to 1.
func (t *limitTurn) take(perSecond float64, entries int, now time.Time, random float64) bool {
	if perSecond <= 0 || entries == 0 {
		return false
	}
	interval := time.Duration(min(float64(entries)/perSecond, maxLimitTurn.Seconds()) * float64(time.Second))
	late := now.Sub(t.next)
	switch {
	case late > limitTurnLifetime || -late > interval:
		t.next = now.Add(time.Duration(random * float64(interval)))
		return false
	case late < 0:
		return false
	default:
		t.next = now.Add(interval)
		return true
	}
}

// maxLimitTurn bounds the time between two turns, so that it can be calculated.
const maxLimitTurn = 24 * time.Hour

// takeLimitTurn returns the first of some limited servers at which it is the entry's
// turn, or nil.
func (v *view) takeLimitTurn(servers []*server, now time.Time, random float64) *server {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range servers {
		if s.limitTurn.take(s.limit.PerSecond, v.entries, now, random) {
			return s
		}
	}
	return nil
}

// serverLimits returns the request limits of all servers that name one.
func (v *view) serverLimits() []broker.ServerLimit {
	v.mu.Lock()
	defer v.mu.Unlock()
	var limits []broker.ServerLimit
	for _, s := range v.servers {
		if s.limit.Limited() {
			limits = append(limits, broker.ServerLimit{ServerID: s.ID, Limit: s.limit})
		}
	}
	return limits
}

// limitOf returns the request limit of a server.
func (v *view) limitOf(s *server) broker.RequestLimit {
	v.mu.Lock()
	defer v.mu.Unlock()
	return s.limit
}

// limitedCheckInterval returns the least time between two checks of a server with a
// request limit: to a server in need, a check is one more request.
func limitedCheckInterval(l broker.RequestLimit) time.Duration {
	rate := max(limitCheckShare*l.PerSecond, 1/maxLimitedCheckInterval.Seconds())
	return max(defaultCheckInterval, time.Duration(float64(time.Second)/rate))
}

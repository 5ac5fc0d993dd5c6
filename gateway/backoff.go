package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/backend"
	"tanagerbarrow/broker"
	"tanagerbarrow/route"
)

// The constants of backoffs.
const (
	// maxBackoff bounds the time for which a server may ask to be left alone, so that a
	// mistaken value doesn't keep it out for ever.
	maxBackoff = 24 * time.Hour
	// backoffSpreadShare and maxBackoffSpread bound the random part that each entry adds, so
	// that a server that has asked all entries at once doesn't get them back at once.
	backoffSpreadShare = 0.125
	maxBackoffSpread   = time.Second
)

// errCheckBackoff means that a server wants no health checks of this entry now.
var errCheckBackoff = errors.New("the server wants no health checks now")

// sendKind is what an entry sends to a server.
type sendKind string

// Kinds of what an entry sends.
const (
	sendsRequest sendKind = "request"
	sendsCheck   sendKind = "check"
)

// backoff is the time for which a server wants nothing of this entry.
type backoff struct {
	until time.Time
	// checksUntil is until when it wants no health checks either: it has said so in the
	// response to one.
	checksUntil time.Time
	// checks counts the health checks that this entry sent to the server meanwhile.
	checks int
}

// backoffs holds, by server identifier, the servers that have asked this entry to send
// nothing for a time. It reads no clock.
type backoffs map[string]*backoff

// ask records that a server wants nothing until a time, as the response to a request or a
// check said, and reports whether that is later than known before. A shorter time doesn't
// end a longer one, since responses may overtake each other.
func (b backoffs) ask(server string, kind sendKind, until time.Time) (later bool) {
	known := b[server]
	if known == nil {
		known = &backoff{}
		b[server] = known
	}
	if kind == sendsCheck && until.After(known.checksUntil) {
		known.checksUntil = until
	}
	if !until.After(known.until) {
		return false
	}
	known.until = until
	return true
}

// active reports whether a server wants no requests now.
func (b backoffs) active(server string, now time.Time) bool {
	known := b[server]
	return known != nil && now.Before(known.until)
}

// backoffOf returns for how long a server that responds with a status wants nothing of this
// entry, with a random part; random is from 0 to 1. It returns 0 if the server doesn't say so.
func backoffOf(status int, report backend.Report, random float64) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	wait := min(report.RetryAfter, maxBackoff)
	return wait + time.Duration(random*min(backoffSpreadShare*float64(wait), float64(maxBackoffSpread)))
}

// activeBackoffs returns the servers that want no requests of this entry now.
func (v *view) activeBackoffs(now time.Time) []broker.Backoff {
	v.mu.Lock()
	defer v.mu.Unlock()
	var active []broker.Backoff
	for id, known := range v.backoffs {
		if left := known.until.Sub(now); left > 0 {
			active = append(active, broker.Backoff{ServerID: id, Millis: int(left.Milliseconds()) + 1})
		}
	}
	return active
}

// checkBackoff returns for how much longer a server wants no health checks of this entry.
func (v *view) checkBackoff(s *server, now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.checkBackoffLocked(s, now)
}

// checkBackoffLocked is checkBackoff for a caller that holds the lock.
func (v *view) checkBackoffLocked(s *server, now time.Time) time.Duration {
	if known := v.backoffs[s.ID]; known != nil {
		return max(0, known.checksUntil.Sub(now))
	}
	return 0
}

// notAccepting returns the numbers of the servers of a service that want no requests of this entry
// now, or that a roll-out has excluded.
func (v *view) notAccepting(service string, now time.Time) []uint32 {
	v.mu.Lock()
	defer v.mu.Unlock()
	var numbers []uint32
	for _, s := range v.servers {
		if s.Service == service && (!v.accepts(s, false, now) || !v.versionAllows(s, true)) {
			numbers = append(numbers, s.Number)
		}
	}
	return numbers
}

// serviceBackoff returns the time until the first server that may be used without a broker
// wants requests of this entry again; 0 unless all of them back off.
func (v *view) serviceBackoff(service string, r *route.Route, avoid []uint32, now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	first := time.Duration(0)
	for _, s := range v.servers {
		if !v.allowed(s, service, r, avoid, now) {
			continue
		}
		if !v.backoffs.active(s.ID, now) {
			return 0
		}
		if left := v.backoffs[s.ID].until.Sub(now); first == 0 || left < first {
			first = left
		}
	}
	return first
}

// observeBackoff records what a response of a server says about its wish to be left alone.
func (g *Gateway) observeBackoff(s *server, status int, report backend.Report, kind sendKind) {
	wait := backoffOf(status, report, rand.Float64())
	if wait == 0 {
		return
	}
	g.view.mu.Lock()
	isNew := g.view.backoffs[s.ID] == nil
	later := g.view.backoffs.ask(s.ID, kind, time.Now().Add(wait))
	g.view.mu.Unlock()
	if !later {
		return
	}
	g.session.reportBackoffs([]broker.Backoff{{ServerID: s.ID, Millis: int(wait.Milliseconds()) + 1}})
	g.options.Metrics.GetOrCreateCounter("tanagerbarrow_backoffs_total").Inc()
	g.failureLog.Warn().Str("event", "server_backoff").Str("server", s.ID).Str("service", s.Service).
		Str("source", string(kind)).Dur("retry_after_ms", report.RetryAfter).Dur("for_ms", wait).Send()
	if isNew {
		time.AfterFunc(wait, func() { g.endBackoff(s) })
	}
}

// endBackoff removes and logs a backoff that has ended.
func (g *Gateway) endBackoff(s *server) {
	g.view.mu.Lock()
	known := g.view.backoffs[s.ID]
	if known == nil {
		g.view.mu.Unlock()
		return
	}
	if left := time.Until(known.until); left > 0 {
		g.view.mu.Unlock()
		time.AfterFunc(left, func() { g.endBackoff(s) })
		return
	}
	delete(g.view.backoffs, s.ID)
	g.view.mu.Unlock()
	g.log.Info().Str("event", "server_backoff_ended").Str("server", s.ID).Str("service", s.Service).
		Int("checks", known.checks).Send()
}

// countCheck counts a health check that this entry sends to a server that wants no requests of it.
func (g *Gateway) countCheck(s *server) {
	g.view.mu.Lock()
	active := g.view.backoffs.active(s.ID, time.Now())
	if active {
		g.view.backoffs[s.ID].checks++
	}
	g.view.mu.Unlock()
	if active {
		g.options.Metrics.GetOrCreateCounter("tanagerbarrow_backoff_checks_total").Inc()
	}
}

package gateway

import (
	"fmt"
	"net/http"
	"time"

	"tanagerbarrow/backend"
	"tanagerbarrow/broker"
)

// maxBackoff bounds the time for which a server may ask to be left alone, so that a
// mistaken value doesn't keep it out for ever.
const maxBackoff = 24 * time.Hour

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
	// sent counts what this entry sent to the server meanwhile.
	sent map[sendKind]int
}

// backoffs holds, by server identifier, the servers that have asked this entry to send
// nothing for a time. It reads no clock.
type backoffs map[string]*backoff

// ask records that a server wants nothing for a time from now on, and returns the time in
// which it does; 0 if that is unchanged. A shorter time doesn't end a longer one, since
// responses may overtake each other.
func (b backoffs) ask(server string, wait time.Duration, now time.Time) time.Duration {
	wait = min(wait, maxBackoff)
	known := b[server]
	if wait <= 0 || known != nil && !now.Add(wait).After(known.until) {
		return 0
	}
	if known == nil {
		known = &backoff{sent: map[sendKind]int{}}
		b[server] = known
	}
	known.until = now.Add(wait)
	return wait
}

// active reports whether a server wants nothing now.
func (b backoffs) active(server string, now time.Time) bool {
	known := b[server]
	return known != nil && now.Before(known.until)
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

// backoffOf returns for how long a server that responds with a status wants nothing of this
// entry; 0 if it doesn't say so.
func backoffOf(status int, report backend.Report) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	return report.RetryAfter
}

// observeBackoff records what a response of a server says about its wish to be left alone.
func (g *Gateway) observeBackoff(s *server, status int, report backend.Report, kind sendKind) {
	wait := backoffOf(status, report)
	if wait == 0 {
		return
	}
	now := time.Now()
	g.view.mu.Lock()
	isNew := g.view.backoffs[s.ID] == nil
	wait = g.view.backoffs.ask(s.ID, wait, now)
	g.view.mu.Unlock()
	if wait == 0 {
		return
	}
	g.session.reportBackoffs([]broker.Backoff{{ServerID: s.ID, Millis: int(wait.Milliseconds())}})
	g.options.Metrics.GetOrCreateCounter("tanagerbarrow_backoffs_total").Inc()
	g.failureLog.Warn().Str("event", "server_backoff").Str("server", s.ID).Str("service", s.Service).
		Str("source", string(kind)).Dur("for_ms", wait).Send()
	if isNew {
		time.AfterFunc(wait, func() { g.endBackoff(s) })
	}
}

// endBackoff removes a backoff that has ended, and logs what this entry sent meanwhile.
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
		Int("requests", known.sent[sendsRequest]).Int("checks", known.sent[sendsCheck]).Send()
}

// countBackoffSend counts what this entry sends to a server that wants nothing of it.
func (g *Gateway) countBackoffSend(s *server, kind sendKind) {
	g.view.mu.Lock()
	active := g.view.backoffs.active(s.ID, time.Now())
	if active {
		g.view.backoffs[s.ID].sent[kind]++
	}
	g.view.mu.Unlock()
	if active {
		g.options.Metrics.GetOrCreateCounter(fmt.Sprintf("tanagerbarrow_backoff_sends_total{kind=%q}", string(kind))).Inc()
	}
}

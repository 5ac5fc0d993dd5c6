package coordinator

import (
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/broker"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
)

// sharePeriod is how often the shares of client accounts are planned: callers keep to an entry for much
// longer.
const sharePeriod = 2 * time.Second

// sendAccountShares sends entries what they may let through of client accounts without a broker.
func (l *leader) sendAccountShares(now time.Time) {
	if now.Sub(l.sharesSentAt) < sharePeriod {
		return
	}
	l.sharesSentAt = now
	for name, shares := range l.broker.PlanShares(now) {
		if in := l.sessions[name]; in != nil {
			_ = in.conn.Send(protocol.KindAccountShares, shares)
		}
	}
}

// receiveAboutAccounts handles the messages of entries about client accounts, and rejects unknown ones.
func (c *Coordinator) receiveAboutAccounts(l *leader, in *inboundLink, kind link.Kind, body []byte) error {
	switch kind {
	case protocol.KindCurrencyQuery:
		var m protocol.CurrencyQuery
		if err := link.Decode(body, &m); err != nil {
			return err
		}
		c.currency.add(in, m)
		return nil
	case protocol.KindAccountUse:
		return postMessage(l, body, func(m []broker.AccountShare, now time.Time) {
			l.broker.AdoptAccountShares(in.hello.Name, m, now)
		})
	default:
		return errors.New("unknown message kind")
	}
}

// succession tells how long the last leaders of the group have led. The zero value knows none.
type succession struct {
	// term is the newest term of which a leader was seen, and began when it was first seen, or the process
	// started, in [boottime.Now].
	term  uint64
	began time.Duration
	// previousBegan is the same of the term before.
	previousBegan time.Duration
	previousTerm  uint64
}

// observe records that a term has a leader.
func (s *succession) observe(term uint64, now time.Duration) {
	if term > s.term {
		s.previousTerm, s.previousBegan = s.term, s.began
		s.term, s.began = term, now
	}
}

// startTerm records that this host leads a term, and reports whether the leader before may have begun within
// the span.
func (s *succession) startTerm(term uint64, now, span time.Duration) bool {
	s.observe(term, now)
	return s.previousTerm+1 != term || now-s.previousBegan < span
}

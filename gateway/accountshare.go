package gateway

import (
	"net/http"
	"sync"
	"time"

	"tanagerbarrow/account"
	"tanagerbarrow/boottime"
	"tanagerbarrow/broker"
	"tanagerbarrow/link"
	"tanagerbarrow/protocol"
	"tanagerbarrow/verdict"
)

// codeNoShare means that the entry has no broker and no share of the client account's limit left.
const codeNoShare = "account_share"

// accountShares are what this entry may let through of limited client accounts without a broker, by the
// account's name. They are safe for concurrent use.
type accountShares struct {
	window time.Duration

	mu     sync.Mutex
	byName map[string]*account.Allowance
}

// newAccountShares returns the shares of an entry that has none.
func newAccountShares(window time.Duration) *accountShares {
	return &accountShares{window: window, byName: map[string]*account.Allowance{}}
}

// set applies the shares that have changed. What an entry has let through under a share counts for a window,
// whatever becomes of the share.
func (s *accountShares) set(changed []broker.AccountShare, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range changed {
		a := s.byName[c.ClientAccount]
		if a == nil {
			a = &account.Allowance{}
			s.byName[c.ClientAccount] = a
		}
		a.Share = c.Share
	}
	for name, a := range s.byName {
		if a.Idle(s.window, now) {
			delete(s.byName, name)
		}
	}
}

// drop ends all shares: the broker may have handed them out to others.
func (s *accountShares) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.byName {
		a.Share = 0
	}
}

// take takes one request of the share of an account.
func (s *accountShares) take(name string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.byName[name]
	return a != nil && a.Take(s.window, now)
}

// held returns the shares that the entry holds.
func (s *accountShares) held() []broker.AccountShare {
	s.mu.Lock()
	defer s.mu.Unlock()
	var held []broker.AccountShare
	for name, a := range s.byName {
		if a.Share > 0 {
			held = append(held, broker.AccountShare{ClientAccount: name, Share: a.Share})
		}
	}
	return held
}

// reportShares sends a broker that has just welcomed this entry the shares that it holds, and has it asked whether
// the configuration is the newest.
func (c *controlConn) reportShares(m protocol.Capabilities) {
	if !m.Currency {
		return
	}
	if held := c.session.accountShares.held(); len(held) > 0 {
		_ = c.conn.Send(protocol.KindAccountUse, held)
	}
	select {
	case c.session.brokerWelcomed <- struct{}{}:
	default:
	}
}

// receiveAboutAccounts handles the broker's messages about client accounts, and ignores all others.
func (c *controlConn) receiveAboutAccounts(kind link.Kind, body []byte) error {
	switch kind {
	case protocol.KindAccountShares:
		var shares []broker.AccountShare
		if err := link.Decode(body, &shares); err != nil {
			return err
		}
		c.session.accountShares.set(shares, boottime.Now())
	case protocol.KindCurrency:
		var m protocol.Currency
		if err := link.Decode(body, &m); err != nil {
			return err
		}
		c.session.currency.record(m, c.session.view.version())
	}
	return nil
}

// takeShare counts a request without a broker towards the entry's share of its client account's limit. It
// returns the refusal of a request beyond that share: nobody knows whether it is beyond the limit.
func (g *Gateway) takeShare(k *callerRequest) error {
	if k.account == nil || !k.account.Limited() {
		return nil
	}
	now := boottime.Now()
	if g.session.lostFor(now) <= account.ShareLifetime && g.session.accountShares.take(k.account.Name, now) {
		return nil
	}
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeNoShare,
		"client account %q has no requests left at this entry without a broker", k.account.Name)
}

// lostFor returns for how long there has been no broker; 0 while one is connected.
func (s *session) lostFor(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		return 0
	}
	return now - s.lostSince
}

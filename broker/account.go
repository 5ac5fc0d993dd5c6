package broker

import (
	"maps"
	"time"

	"tanagerbarrow/account"
)

// tokenReturnTime is the time after a grant within which its token can be returned: the tokens that are
// missing meanwhile could otherwise add up to more than the limit.
const tokenReturnTime = 50 * time.Millisecond

// accountMeter keeps the requests of one client account within its limit.
type accountMeter struct {
	*account.Meter
	name string
	// promisedUntil is when there is a token for the caller that was refused last and can come back.
	promisedUntil time.Time
	// shares divides what entries may let through without a broker.
	shares *account.Shares
	// retiredAt is when the account was removed or lost its limit; zero while it has one.
	retiredAt time.Time
}

// AccountShare is the part of a client account's requests that an entry may let through without a
// broker.
type AccountShare struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// ClientAccount is the account's name.
	ClientAccount string
	// Share is a number of requests in each window of the limit.
	Share int
}

// configureAccounts applies the limits of the client accounts of a configuration that is about to be in
// force. The meter of an account that was removed or has no limit any more is kept for a window, so
// that the account doesn't get a second burst if it returns.
func (b *Broker) configureAccounts(accounts []account.Account, now time.Time) {
	before := b.accounts
	b.accounts = map[string]*accountMeter{}
	defer b.retireMeters(before, now)
	for i := range accounts {
		a := &accounts[i]
		if !a.Limited() {
			continue
		}
		m, bounds := before[a.Name], b.options.AccountBounds
		if m == nil {
			m = b.retiredMeters[a.Name]
		}
		if m == nil {
			m = &accountMeter{
				Meter:  account.NewMeter(a.RatePerSecond, bounds.BrokerBurst(a), b.initialLevel(a, before != nil), now),
				shares: account.NewShares(bounds, bounds.Shared(a), now), name: a.Name,
			}
		}
		m.retiredAt = time.Time{}
		m.SetLimit(a.RatePerSecond, bounds.BrokerBurst(a), now)
		m.shares.SetTotal(bounds.Shared(a))
		b.accounts[a.Name] = m
	}
}

// retireMeters keeps the meters that were in force before and are not any more, and forgets those that
// have been kept for longer than a window.
func (b *Broker) retireMeters(before map[string]*accountMeter, now time.Time) {
	for name, m := range before {
		if b.accounts[name] == nil {
			m.retiredAt = now
			b.retiredMeters[name] = m
		}
	}
	maps.DeleteFunc(b.retiredMeters, func(_ string, m *accountMeter) bool {
		return m.retiredAt.IsZero() || now.Sub(m.retiredAt) > b.options.AccountBounds.Window
	})
}

// initialLevel returns the tokens of an account whose limit this broker has not known. A new account has all;
// of one that an earlier broker knew, that one may have let all requests through, and so may the one before.
func (b *Broker) initialLevel(a *account.Account, configured bool) float64 {
	switch {
	case configured && b.index.Accounts().ByName(a.Name) == nil:
		return b.options.AccountBounds.BrokerBurst(a)
	case !configured && b.options.PredecessorIsNew:
		return 0
	default:
		return b.options.AccountBounds.InitialLevel(a)
	}
}

// meterOf returns the meter of an ask's client account; nil if nothing limits it. Retries are part of
// a request that was counted.
func (b *Broker) meterOf(d DetailedAsk) *accountMeter {
	if d.Ask.Retry || d.Details.ClientAccount == "" {
		return nil
	}
	return b.accounts[d.Details.ClientAccount]
}

// accountAllows reports whether the limit of the ask's client account allows its request.
func (w *pendingAsk) accountAllows(now time.Time) bool { return w.meter == nil || w.meter.Allows(now) }

// refuseForAccount refuses an ask whose client account is at its limit, and names the time at which
// there is a token for it. It reports whether it did.
func (b *Broker) refuseForAccount(p *pool, w *pendingAsk, now time.Time) bool {
	if w.accountAllows(now) {
		return false
	}
	b.refuseAt(p, w, ReasonAccountLimit, w.meter.promise(millis(w.ask.DeadlineMillis), now), now)
	return true
}

// promise returns the time until there is a token for a caller that is refused now: behind those that were
// given a retry time before. A caller that can't wait so long takes none.
func (m *accountMeter) promise(deadline time.Duration, now time.Time) time.Duration {
	next := m.Wait(0, now)
	if behind := m.promisedUntil.Sub(now) + m.Wait(1, now) - next; behind > next {
		next = behind
	}
	if next <= time.Duration(returnDeadlineShare*float64(deadline)) {
		m.promisedUntil = now.Add(next)
	}
	return next
}

// refuseAt refuses an ask and sends the exact time after which it may be repeated.
func (b *Broker) refuseAt(p *pool, w *pendingAsk, reason Reason, wait time.Duration, now time.Time) {
	all, busy, _ := p.slotUsage(b, now)
	b.outputs = append(b.outputs, Output{Entry: w.entry.name, Refusal: &Refusal{
		Seq: w.ask.Seq, RetryMillis: int(wait.Milliseconds()) + 1, Reason: reason, Waiting: len(p.queue), Busy: busy, Slots: all,
	}})
}

// takeToken counts the request of a grant towards the limit of its client account.
func (g *grant) takeToken(w *pendingAsk, now time.Time) {
	if w.meter != nil && w.meter.Take(now) {
		g.meter = w.meter
		w.meter.shares.Use(w.entry.name)
	}
}

// returnToken takes back that a request was counted, if it reached no server.
func (g *grant) returnToken(o Outcome, now time.Time) {
	if g.meter != nil && (o == Unused || o == Unreachable) && now.Sub(g.grantedAt) <= tokenReturnTime {
		g.meter.Return(now)
	}
}

// AdoptAccountShares records the shares that an entry holds from an earlier broker or connection.
func (b *Broker) AdoptAccountShares(entry string, shares []AccountShare, now time.Time) {
	for _, s := range shares {
		if m := b.accounts[s.ClientAccount]; m != nil {
			m.shares.Adopt(entry, s.Share, now)
		}
	}
}

// loseShares reserves the shares of an entry that was lost.
func (b *Broker) loseShares(entry string, now time.Time) {
	for _, m := range b.accounts {
		m.shares.Lose(entry, now)
	}
}

// PlanShares divides the requests that entries may let through without a broker, and returns what has
// changed, by the name of the entry.
func (b *Broker) PlanShares(now time.Time) map[string][]AccountShare {
	changes := map[string][]AccountShare{}
	for name, m := range b.accounts {
		for entry, share := range m.shares.Plan(now) {
			changes[entry] = append(changes[entry], AccountShare{ClientAccount: name, Share: share})
		}
	}
	return changes
}

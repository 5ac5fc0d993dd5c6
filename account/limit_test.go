package account

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// init makes the random schedules reproducible; -rapid.seed selects others.
func init() { _ = flag.Set("rapid.seed", "1") }

// modelEntry is an entry as it treats one account.
type modelEntry struct {
	allowance Allowance
	connected bool
	// lostAt is when the entry lost the broker, and brokerKnows whether the broker has noticed.
	lostAt      time.Time
	brokerKnows bool
}

// limitModel is a deployment with one limited account: entries that come and go, and brokers that follow
// each other.
type limitModel struct {
	account  Account
	bounds   Bounds
	now      time.Time
	meter    *Meter
	shares   *Shares
	entries  []modelEntry
	arrivals []time.Time
	began    time.Time
}

// start replaces the broker. All entries lose the one before.
func (m *limitModel) start() {
	level := m.bounds.InitialLevel(&m.account)
	if m.now.Sub(m.began) < m.bounds.Window {
		level = 0
	}
	m.began = m.now
	m.meter = NewMeter(m.account.RatePerSecond, m.bounds.BrokerBurst(&m.account), level, m.now)
	m.shares = NewShares(m.bounds, m.bounds.Shared(&m.account), m.now)
	for n := range m.entries {
		m.lose(n)
		m.entries[n].brokerKnows = true
	}
}

// lose ends an entry's connection.
func (m *limitModel) lose(n int) {
	if e := &m.entries[n]; e.connected {
		e.connected, e.brokerKnows, e.lostAt = false, false, m.now
	}
}

// notice makes the broker know of the loss.
func (m *limitModel) notice(n int) {
	if e := &m.entries[n]; !e.connected && !e.brokerKnows {
		e.brokerKnows = true
		m.shares.Lose(fmt.Sprint(n), m.now)
	}
}

// connect connects an entry, which reports its share unless that has expired.
func (m *limitModel) connect(n int) {
	e := &m.entries[n]
	if e.connected {
		return
	}
	m.notice(n)
	if m.now.Sub(e.lostAt) > ShareLifetime {
		e.allowance.Share = 0
	}
	e.connected = true
	if e.allowance.Share > 0 {
		m.shares.Adopt(fmt.Sprint(n), e.allowance.Share, m.now)
	}
}

// arrive sends requests to an entry.
func (m *limitModel) arrive(n, requests int) {
	e := &m.entries[n]
	for range requests {
		switch {
		case e.connected:
			if m.meter.Take(m.now) {
				m.shares.Use(fmt.Sprint(n))
				m.arrivals = append(m.arrivals, m.now)
			}
		case m.now.Sub(e.lostAt) <= ShareLifetime && e.allowance.Take(m.bounds.Window, time.Duration(m.now.UnixNano())):
			m.arrivals = append(m.arrivals, m.now)
		}
	}
}

// plan divides the shares.
func (m *limitModel) plan() {
	for name, share := range m.shares.Plan(m.now) {
		var n int
		_, _ = fmt.Sscan(name, &n)
		if m.entries[n].connected {
			m.entries[n].allowance.Share = share
		}
	}
}

// most returns the most arrivals in a window.
func (m *limitModel) most() int {
	most, first := 0, 0
	for last, at := range m.arrivals {
		for at.Sub(m.arrivals[first]) > m.bounds.Window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestArrivalsStayWithinTheBound drives one account with far more than its limit through entries that lose
// their broker, are noticed late, return, and brokers that replace each other.
func TestArrivalsStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &limitModel{
			account: Account{RatePerSecond: rapid.Float64Range(0.5, 60).Draw(r, "rate"), Burst: rapid.Float64Range(0, 60).Draw(r, "burst")},
			bounds:  Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: rapid.SampledFrom([]int{0, 5, 20}).Draw(r, "slack")},
			now:     time.Unix(1000, 0), entries: make([]modelEntry, rapid.IntRange(1, 6).Draw(r, "entries")),
		}
		m.start()
		m.now = m.now.Add(20 * time.Second)
		everySecond := rapid.IntRange(1, 3).Draw(r, "plan")
		for step := range rapid.IntRange(20, 120).Draw(r, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(r, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, len(m.entries)-1).Draw(r, "entry")
			switch rapid.SampledFrom([]string{"", "all", "all", "lose", "lose", "connect", "connect", "connect", "replace"}).Draw(r, "step") {
			case "all":
				for n := range m.entries {
					m.connect(n)
				}
			case "lose":
				m.lose(n)
			case "connect":
				m.connect(n)
			case "replace":
				if rapid.IntRange(0, 3).Draw(r, "often") == 0 {
					m.start()
				}
			}
			if step%everySecond == 0 {
				m.plan()
			}
			// Entries that are idle keep their shares for later.
			for n := range m.entries {
				if idle := rapid.IntRange(0, 2).Draw(r, "idle") == 0; !idle {
					m.arrive(n, 200)
				}
			}
			for n := range m.entries {
				if m.now.Sub(m.entries[n].lostAt) >= time.Second {
					m.notice(n)
				}
			}
		}
		if most, allowed := m.most(), m.bounds.Allowed(&m.account); float64(most) > allowed+1 {
			r.Fatalf("%d requests arrived in a window, allowed are %.1f", most, allowed)
		}
	})
}

// TestNothingWithinTheLimitIsRefused sends at the limit, and bursts of its size after a pause.
func TestNothingWithinTheLimitIsRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	a := &Account{RatePerSecond: 20, Burst: 10}
	b := Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
	m := NewMeter(a.RatePerSecond, b.BrokerBurst(a), b.BrokerBurst(a), now)
	for n := range 400 {
		now = now.Add(50 * time.Millisecond)
		if n%40 == 39 {
			for range 10 {
				if !m.Take(now) {
					t.Fatalf("a request of a burst was refused at %d", n)
				}
			}
			now = now.Add(500 * time.Millisecond)
		}
		if !m.Take(now) {
			t.Fatalf("request %d was refused", n)
		}
	}
}

// TestWaitNamesTheNextToken checks that the time named to a refused caller is when a token is there for it.
func TestWaitNamesTheNextToken(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewMeter(10, 2, 0, now)
	first, second := m.Wait(0, now), m.Wait(1, now)
	if first != 100*time.Millisecond || second != 200*time.Millisecond {
		t.Errorf("waits are %s and %s", first, second)
	}
	if now = now.Add(first); !m.Take(now) || m.Take(now) {
		t.Error("the token isn't there at the named time")
	}
	m.SetLimit(1, 1, now)
	if m.Wait(0, now) != time.Second {
		t.Errorf("under a lower limit the wait is %s", m.Wait(0, now))
	}
	m.Return(now)
	if m.Return(now); !m.Take(now) || m.Take(now) {
		t.Error("returned tokens exceed the burst")
	}
	if NewMeter(1e-300, 1, 0, now).Wait(0, now) != maxWait {
		t.Error("the wait is not bounded")
	}
}

// TestSharesFollowUse checks that entries with requests have shares, and that what was taken away rests.
func TestSharesFollowUse(t *testing.T) {
	now := time.Unix(1000, 0)
	b := Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
	s := NewShares(b, 10, now)
	s.Use("x")
	if got := s.Plan(now); len(got) != 0 {
		t.Errorf("a new broker has handed out %v", got)
	}
	now = now.Add(13 * time.Second)
	for range 6 {
		s.Use("x")
	}
	s.Use("y")
	first := s.Plan(now)
	if first["x"] < 6 || first["y"] < 1 || first["x"]+first["y"] > 10 {
		t.Errorf("shares are %v", first)
	}
	s.Lose("x", now)
	for range 20 {
		s.Use("y")
	}
	if now = now.Add(2 * time.Second); s.Plan(now)["y"] > 10-first["x"] {
		t.Error("the share of a lost entry was handed out again at once")
	}
	s.Use("y")
	for range 20 {
		s.Use("y")
	}
	if now = now.Add(13 * time.Second); s.Plan(now)["y"] <= 10-first["x"] {
		t.Error("the share of a lost entry rests for ever")
	}
}

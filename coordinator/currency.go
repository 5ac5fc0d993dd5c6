package coordinator

import (
	"sync"

	"tanagerbarrow/protocol"
)

// maxCurrencyQueries bounds the queries that wait for the next confirmation of the lease.
const maxCurrencyQueries = 10_000

// currencyQueries are the queries of entries whether their configuration is the newest. A query is answered
// with the first confirmation of the lease that is requested after it has arrived: the quorum then confirms
// that no other host led in between, and everything that was acknowledged before is applied on this one. It
// is safe for concurrent use.
type currencyQueries struct {
	mu      sync.Mutex
	waiting map[*inboundLink]protocol.CurrencyQuery
}

// add records the query of an entry, of which the newest counts.
func (q *currencyQueries) add(in *inboundLink, m protocol.CurrencyQuery) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == nil {
		q.waiting = map[*inboundLink]protocol.CurrencyQuery{}
	}
	if len(q.waiting) < maxCurrencyQueries {
		q.waiting[in] = m
	}
}

// take returns the queries that have arrived, and forgets them.
func (q *currencyQueries) take() map[*inboundLink]protocol.CurrencyQuery {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.waiting
	q.waiting = nil
	return taken
}

// answerCurrency answers queries that had arrived before the lease was confirmed.
func (c *Coordinator) answerCurrency(queries map[*inboundLink]protocol.CurrencyQuery) {
	if len(queries) == 0 {
		return
	}
	state, _ := c.machine.State()
	for in, m := range queries {
		_ = in.conn.Send(protocol.KindCurrency, protocol.Currency{Stamp: m.Stamp, Version: state.Document.Version})
	}
}

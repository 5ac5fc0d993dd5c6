package gateway

import (
	"fmt"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"tanagerbarrow/account"
)

// maxAccountLabels is the number of client accounts with metrics of their own: enough to show who sends most.
const maxAccountLabels = 10

// restLabel stands for all other accounts.
const restLabel = "(rest)"

// accountMeters counts the requests of client accounts by result. The accounts with most requests have metrics of
// their own. It is safe for concurrent use.
type accountMeters struct {
	set *metrics.Set

	mu sync.Mutex
	// requests counts all requests by account, and labelled are the accounts with metrics of their own, with the
	// names of these.
	requests map[string]uint64
	labelled map[string]map[string]bool
}

// newAccountMeters returns meters that have counted nothing.
func newAccountMeters(set *metrics.Set) *accountMeters {
	return &accountMeters{set: set, requests: map[string]uint64{}, labelled: map[string]map[string]bool{}}
}

// count counts a request of an account by its result.
func (m *accountMeters) count(a *account.Account, result string) {
	if a == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests[a.Name]++
	label := restLabel
	if m.mayLabel(a.Name) {
		label = a.Name
	}
	name := fmt.Sprintf("tanagerbarrow_account_requests_total{account=%q,result=%q}", label, result)
	if label != restLabel {
		m.labelled[label][name] = true
	}
	m.set.GetOrCreateCounter(name).Inc()
}

// mayLabel reports whether an account has metrics of its own. An account that overtakes the smallest of those that
// have some takes its place. The caller holds the lock.
func (m *accountMeters) mayLabel(name string) bool {
	if m.labelled[name] != nil {
		return true
	}
	if len(m.labelled) >= maxAccountLabels {
		smallest := ""
		for other := range m.labelled {
			if smallest == "" || m.requests[other] < m.requests[smallest] {
				smallest = other
			}
		}
		if m.requests[name] <= m.requests[smallest] {
			return false
		}
		for metric := range m.labelled[smallest] {
			m.set.UnregisterMetric(metric)
		}
		delete(m.labelled, smallest)
	}
	m.labelled[name] = map[string]bool{}
	return true
}

// retain forgets the accounts that an index doesn't hold any more.
func (m *accountMeters) retain(x *account.Index) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.requests {
		if x.ByName(name) == nil {
			delete(m.requests, name)
		}
	}
}

// requestResult returns the result of a request for the metrics of its client account: the code of the entry's own
// refusal or error, or else whether a server has answered well.
func requestResult(status int, code string) string {
	switch {
	case code != "":
		return code
	case status >= http.StatusInternalServerError:
		return "failed"
	default:
		return "answered"
	}
}

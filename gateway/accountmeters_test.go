package gateway

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"tanagerbarrow/account"
)

// TestLargestAccountsHaveMetrics counts requests of many accounts, of which the last is the largest.
func TestLargestAccountsHaveMetrics(t *testing.T) {
	set := metrics.NewSet()
	m := newAccountMeters(set)
	for n := range 100 {
		for range 1 + n/10 {
			m.count(&account.Account{Name: fmt.Sprint("account-", n)}, "answered")
		}
	}
	for range 50 {
		m.count(&account.Account{Name: "largest"}, "account_limit")
	}
	m.count(nil, "answered")
	var out bytes.Buffer
	set.WritePrometheus(&out)
	labels := strings.Count(out.String(), "account=")
	// The rest has two results, each of the others one.
	if labels != maxAccountLabels+2 || !strings.Contains(out.String(), `account="largest",result="account_limit"`) ||
		!strings.Contains(out.String(), `account="(rest)"`) {
		t.Errorf("%d labels:\n%s", labels, out.String())
	}
	if m.retain(account.NewIndex([]account.Account{{Name: "largest"}})); len(m.requests) != 1 {
		t.Errorf("%d accounts are counted after the others have left", len(m.requests))
	}
}

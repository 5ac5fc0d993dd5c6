package telemetry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// maxCachedRequestLabels limits the cached label sets. For others, the names of the
// metrics are formatted on each request.
const maxCachedRequestLabels = 10_000

// requestLabels are the labels of the two metrics of a finished request.
type requestLabels struct {
	service, account, class, verdict string
	status                           int
}

// requestMetrics are the duration and the counter of requests with the same labels.
type requestMetrics struct {
	seconds  *metrics.Histogram
	requests *metrics.Counter
}

// requestMetrics returns the metrics for the labels. It caches them, so that their
// names are formatted once.
func (m *Metrics) requestMetrics(labels requestLabels) requestMetrics {
	if found, ok := m.cachedRequestMetrics.Load(labels); ok {
		return found.(requestMetrics)
	}
	found := requestMetrics{
		seconds: m.Set.GetOrCreateHistogram(fmt.Sprintf(
			`tanagerbarrow_request_seconds{service=%q,client_account=%q,class=%q}`,
			labels.service, labels.account, labels.class)),
		requests: m.Set.GetOrCreateCounter(fmt.Sprintf(
			`tanagerbarrow_requests_total{service=%q,verdict=%q,status="%d"}`,
			labels.service, labels.verdict, labels.status)),
	}
	if m.cachedCount.Add(1) <= maxCachedRequestLabels {
		m.cachedRequestMetrics.Store(labels, found)
	}
	return found
}

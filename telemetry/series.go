package telemetry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// maxSeries bounds the remembered series; past it names are formatted for each
// request.
const maxSeries = 10_000

// series names the two series of a finished request.
type series struct {
	service, account, class, verdict string
	status                           int
}

// instruments are the two series.
type instruments struct {
	seconds  *metrics.Histogram
	requests *metrics.Counter
}

// instruments returns the series of a request. Their names are formatted once.
func (m *Metrics) instruments(of series) instruments {
	if found, ok := m.known.Load(of); ok {
		return found.(instruments)
	}
	found := instruments{
		seconds: m.Set.GetOrCreateHistogram(fmt.Sprintf(
			`tanagerbarrow_request_seconds{service=%q,client_account=%q,class=%q}`,
			of.service, of.account, of.class)),
		requests: m.Set.GetOrCreateCounter(fmt.Sprintf(
			`tanagerbarrow_requests_total{service=%q,verdict=%q,status="%d"}`,
			of.service, of.verdict, of.status)),
	}
	if m.knownCount.Add(1) <= maxSeries {
		m.known.Store(of, found)
	}
	return found
}

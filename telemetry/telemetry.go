package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"tanagerbarrow/settings"
)

// RequestIDHeader is the header with the identifier of a request, which is the same
// in every process that handles the request.
const RequestIDHeader = "Tanagerbarrow-Request-Id"

// maxAccountLabels limits the distinct client accounts in the labels of one
// process's metrics. Further accounts share the label "other".
const maxAccountLabels = 200

// NewLogger returns a logger that writes JSON lines with the host's name and
// availability zone.
func NewLogger(w io.Writer, s *settings.Settings) zerolog.Logger {
	return zerolog.New(w).With().Timestamp().
		Str("host", s.Host.Name).
		Str("availability_zone", s.Host.AvailabilityZone).
		Logger()
}

// Metrics are the metrics of one process.
type Metrics struct {
	// Set holds every metric of the process.
	Set *metrics.Set

	cachedRequestMetrics sync.Map // requestLabels to requestMetrics
	cachedCount          atomic.Int64

	mu       sync.Mutex
	accounts map[string]bool
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics {
	return &Metrics{Set: metrics.NewSet(), accounts: map[string]bool{}}
}

// ObserveRequest records one finished request.
func (m *Metrics) ObserveRequest(service, account, class, verdict string, status int, took time.Duration) {
	series := m.requestMetrics(requestLabels{service, m.accountLabel(account), class, verdict, status})
	series.seconds.Update(took.Seconds())
	series.requests.Inc()
}

// accountLabel returns the account, or "other" if maxAccountLabels other accounts
// were seen before it.
func (m *Metrics) accountLabel(account string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.accounts[account] {
		return account
	}
	if len(m.accounts) >= maxAccountLabels {
		return "other"
	}
	m.accounts[account] = true
	return account
}

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.Set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

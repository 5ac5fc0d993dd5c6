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

// RequestIDHeader carries the identifier that follows a request through every
// process.
const RequestIDHeader = "Tanagerbarrow-Request-Id"

// maxLabelValues bounds the distinct client accounts in the metrics of one
// process; the rest share the label "other".
const maxLabelValues = 200

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

	known      sync.Map // series to instruments
	knownCount atomic.Int64

	mu       sync.Mutex
	accounts map[string]bool
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics {
	return &Metrics{Set: metrics.NewSet(), accounts: map[string]bool{}}
}

// ObserveRequest records one finished request.
func (m *Metrics) ObserveRequest(service, account, class, verdict string, status int, took time.Duration) {
	found := m.instruments(series{service, m.bounded(account), class, verdict, status})
	found.seconds.Update(took.Seconds())
	found.requests.Inc()
}

// bounded returns the account, or "other" once too many accounts were seen.
func (m *Metrics) bounded(account string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.accounts[account] {
		return account
	}
	if len(m.accounts) >= maxLabelValues {
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

package gateway

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"tanagerbarrow/boottime"
)

// registerMetrics registers the metrics of the session with the broker.
func (s *session) registerMetrics(set *metrics.Set) {
	set.NewGauge("tanagerbarrow_broker_connected", func() float64 {
		if s.activeConn() == nil {
			return 0
		}
		return 1
	})
	set.NewGauge("tanagerbarrow_broker_lost_seconds", func() float64 { return s.timeWithoutBroker().Seconds() })
	set.NewGauge("tanagerbarrow_control_hosts_known", func() float64 { return float64(len(s.controlHosts.addresses())) })
	set.NewGauge("tanagerbarrow_configuration_version", func() float64 { return float64(s.view.version()) })
}

// timeWithoutBroker returns the time since the last broker was lost, or since the
// start of the process; 0 while one is connected. It is the age of the configuration
// and of the view, and includes suspensions.
func (s *session) timeWithoutBroker() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		return 0
	}
	return boottime.Now() - s.lostSince
}

// searchReportInterval is the time between two log lines about a search that has found
// no broker. Elections and restarts of the broker are over before the first.
const searchReportInterval = 5 * time.Second

// report logs a search that has found no broker.
func (b *brokerSearch) report() {
	connected := b.connectedHosts()
	var unreachable []string
	for _, address := range b.session.controlHosts.addresses() {
		if !slices.Contains(connected, address) {
			unreachable = append(unreachable, address)
		}
	}
	b.session.log.Warn().Str("event", "broker_search").Dur("for_ms", b.session.timeWithoutBroker()).
		Uint64("config_version", b.session.view.version()).Strs("connected", connected).Strs("unreachable", unreachable).Send()
}

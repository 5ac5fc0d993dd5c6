package coordinator

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"tanagerbarrow/broker"
	"tanagerbarrow/declare"
)

// hostMetrics are the metrics of a control host.
type hostMetrics struct {
	set           *metrics.Set
	grants        *metrics.Counter
	pauses        *metrics.Counter
	commitSeconds *metrics.Histogram
}

// newHostMetrics registers the metrics.
func newHostMetrics(c *Coordinator, set *metrics.Set) *hostMetrics {
	set.NewGauge("tanagerbarrow_broker_term", func() float64 {
		if l := c.leading(); l != nil {
			return float64(l.term)
		}
		return 0
	})
	set.NewGauge("tanagerbarrow_broker_events_waiting", func() float64 {
		if l := c.leading(); l != nil {
			return float64(len(l.events))
		}
		return 0
	})
	set.NewGauge("tanagerbarrow_voters", func() float64 { return float64(len(c.node.Status().Voters)) })
	set.NewGauge("tanagerbarrow_control_hosts_known", func() float64 { return float64(len(c.mesh.knownHosts())) })
	set.NewGauge("tanagerbarrow_applied_index", func() float64 { return float64(c.node.Status().AppliedIndex) })
	return &hostMetrics{
		set: set, grants: set.NewCounter("tanagerbarrow_grants_total"), pauses: set.NewCounter("tanagerbarrow_pauses_total"),
		commitSeconds: set.NewHistogram("tanagerbarrow_commit_seconds"),
	}
}

// countEjection counts an ejection by the entry that reported the failure.
func (m *hostMetrics) countEjection(entry string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("tanagerbarrow_ejections_total{entry=%q}", entry)).Inc()
}

// countGrant counts a grant and, if its ask went before another one, the rule by which it did.
func (m *hostMetrics) countGrant(aheadBy broker.OrderRule) {
	m.grants.Inc()
	if aheadBy != "" {
		m.set.GetOrCreateCounter(fmt.Sprintf("tanagerbarrow_grants_ahead_total{rule=%q}", aheadBy)).Inc()
	}
}

// countRefusal counts a refusal by its reason.
func (m *hostMetrics) countRefusal(reason broker.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf("tanagerbarrow_refusals_total{reason=%q}", reason)).Inc()
}

// countZoneOrder counts an order on a zone by its result.
func (m *hostMetrics) countZoneOrder(err error) {
	m.set.GetOrCreateCounter(fmt.Sprintf("tanagerbarrow_zone_orders_total{result=%q}", orderResultName(err))).Inc()
}

// countRolloutOrder counts an order for a roll-out by its result.
func (m *hostMetrics) countRolloutOrder(err error) {
	m.set.GetOrCreateCounter(fmt.Sprintf("tanagerbarrow_rollout_orders_total{result=%q}", orderResultName(err))).Inc()
}

// orderResultName names the result of an order in metrics.
func orderResultName(err error) string {
	switch {
	case err == nil:
		return "executed"
	case errors.Is(err, declare.ErrOutdatedOrder):
		return "outdated"
	case errors.Is(err, declare.ErrRolloutInProgress), errors.Is(err, declare.ErrUnknownService), errors.Is(err, declare.ErrInvalidRollout):
		return "refused"
	default:
		return "failed"
	}
}

// countRolloutStage counts a stage that a service's roll-out has reached.
func (m *hostMetrics) countRolloutStage(service string, stage declare.RolloutStage) {
	m.set.GetOrCreateCounter(fmt.Sprintf("tanagerbarrow_rollout_stages_total{service=%q,stage=%q}", service, stage)).Inc()
}

// countRolloutResult counts a request of a service with a roll-out in progress by the version of
// its server and by its outcome.
func (m *hostMetrics) countRolloutResult(service string, target bool, o broker.Outcome) {
	version, result := "before", "other"
	if target {
		version = "target"
	}
	switch o {
	case broker.Answered:
		result = "answered"
	case broker.Failed, broker.ConnectionLost, broker.Unreachable:
		result = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("tanagerbarrow_rollout_results_total{service=%q,version=%q,result=%q}", service, version, result)).Inc()
}

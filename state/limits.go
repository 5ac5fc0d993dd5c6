package state

import (
	"github.com/cockroachdb/errors"
)

// The maximum values of the limits that an operator can set.
const (
	maxQueueLength     = 1_000_000
	maxPercent         = 100
	maxColdRequests    = 1_000_000
	maxMilliseconds    = 3_600_000
	maxShareWeight     = 10_000
	maxAccountRequests = 1_000_000
)

// ServiceLimits are the limits of the requests of one service. For a nil field
// the default of the entry applies.
type ServiceLimits struct {
	// QueueLength is the maximum number of requests that wait on one entry.
	QueueLength *int `json:"queue_length,omitempty"`
	// QueueWaitMilliseconds is the maximum time that a request waits, in
	// milliseconds.
	QueueWaitMilliseconds *int `json:"queue_wait_milliseconds,omitempty"`
	// HedgePercent is the maximum number of hedged requests that an entry adds,
	// in percent of its requests.
	HedgePercent *int `json:"hedge_percent,omitempty"`
	// RetryPercent is the maximum number of retries that an entry adds, in
	// percent of its requests.
	RetryPercent *int `json:"retry_percent,omitempty"`
	// ColdRequests is the number of requests in progress, over all entries, that
	// a backend server can handle directly after a cold start.
	ColdRequests *int `json:"cold_requests,omitempty"`
	// ColdMilliseconds is the time that a backend server takes to warm up, in
	// milliseconds.
	ColdMilliseconds *int `json:"cold_milliseconds,omitempty"`
}

// AccountLimits are the limits of the requests of one client account. For a nil
// field the default of the entry applies.
type AccountLimits struct {
	// ShareWeight is the account's weight when accounts compete for slots; an
	// account of weight 2 gets twice the slots of one of weight 1.
	ShareWeight *int `json:"share_weight,omitempty"`
	// MaxRequests is the maximum number of requests of the account that are in
	// progress on one entry.
	MaxRequests *int `json:"max_requests,omitempty"`
}

// boundedField is a field with its allowed range.
type boundedField struct {
	name     string
	value    *int
	min, max int
}

// bounds returns the fields with their allowed ranges.
func (l *ServiceLimits) bounds() []boundedField {
	return []boundedField{
		{"queue_length", l.QueueLength, 0, maxQueueLength},
		{"queue_wait_milliseconds", l.QueueWaitMilliseconds, 0, maxMilliseconds},
		{"hedge_percent", l.HedgePercent, 0, maxPercent},
		{"retry_percent", l.RetryPercent, 0, maxPercent},
		{"cold_requests", l.ColdRequests, 1, maxColdRequests},
		{"cold_milliseconds", l.ColdMilliseconds, 0, maxMilliseconds},
	}
}

// bounds returns the fields with their allowed ranges.
func (l *AccountLimits) bounds() []boundedField {
	return []boundedField{
		{"share_weight", l.ShareWeight, 1, maxShareWeight},
		{"max_requests", l.MaxRequests, 1, maxAccountRequests},
	}
}

// checkBounds returns an error if no field is set or one is out of range.
func checkBounds(subject string, bounds []boundedField) error {
	set := 0
	for _, b := range bounds {
		if b.value == nil {
			continue
		}
		set++
		if *b.value < b.min || *b.value > b.max {
			return errors.Newf("limit %s of %q is %d, allowed are %d to %d", b.name, subject, *b.value, b.min, b.max)
		}
	}
	if set == 0 {
		return errors.Newf("no limit of %q is given", subject)
	}
	return nil
}

// overlay returns the limits, replaced by those fields that are set in over.
func (l ServiceLimits) overlay(over ServiceLimits) ServiceLimits {
	return ServiceLimits{
		QueueLength:           firstSet(over.QueueLength, l.QueueLength),
		QueueWaitMilliseconds: firstSet(over.QueueWaitMilliseconds, l.QueueWaitMilliseconds),
		HedgePercent:          firstSet(over.HedgePercent, l.HedgePercent),
		RetryPercent:          firstSet(over.RetryPercent, l.RetryPercent),
		ColdRequests:          firstSet(over.ColdRequests, l.ColdRequests),
		ColdMilliseconds:      firstSet(over.ColdMilliseconds, l.ColdMilliseconds),
	}
}

// overlay returns the limits, replaced by those fields that are set in over.
func (l AccountLimits) overlay(over AccountLimits) AccountLimits {
	return AccountLimits{
		ShareWeight: firstSet(over.ShareWeight, l.ShareWeight),
		MaxRequests: firstSet(over.MaxRequests, l.MaxRequests),
	}
}

// firstSet returns a, or b if a is nil.
func firstSet(a, b *int) *int {
	if a != nil {
		return a
	}
	return b
}

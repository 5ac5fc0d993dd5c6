package state

import (
	"github.com/cockroachdb/errors"
)

// The largest values that an operator can set.
const (
	maxQueueLength     = 1_000_000
	maxPercent         = 100
	maxColdRequests    = 1_000_000
	maxMilliseconds    = 3_600_000
	maxShareWeight     = 10_000
	maxAccountRequests = 1_000_000
)

// ServiceLimits bound the requests of one service. A nil field means the
// default of the entry.
type ServiceLimits struct {
	// QueueLength is how many requests may wait on one entry, in requests.
	QueueLength *int `json:"queue_length,omitempty"`
	// QueueWaitMilliseconds is how long a request may wait, in milliseconds.
	QueueWaitMilliseconds *int `json:"queue_wait_milliseconds,omitempty"`
	// HedgePercent is how many hedged requests an entry may add, in percent of
	// its requests.
	HedgePercent *int `json:"hedge_percent,omitempty"`
	// RetryPercent is how many retries an entry may add, in percent of its
	// requests.
	RetryPercent *int `json:"retry_percent,omitempty"`
	// ColdRequests is how many requests in progress a backend server bears when
	// it has just started cold, over all entries.
	ColdRequests *int `json:"cold_requests,omitempty"`
	// ColdMilliseconds is how long a backend server takes to warm up, in
	// milliseconds.
	ColdMilliseconds *int `json:"cold_milliseconds,omitempty"`
}

// AccountLimits bound the requests of one client account. A nil field means
// the default of the entry.
type AccountLimits struct {
	// ShareWeight is the account's weight when accounts compete for slots; an
	// account of weight 2 gets twice the slots of one of weight 1.
	ShareWeight *int `json:"share_weight,omitempty"`
	// MaxRequests is how many requests of the account may be in progress on one
	// entry, in requests.
	MaxRequests *int `json:"max_requests,omitempty"`
}

// bound is a field with the values that it may take.
type bound struct {
	name     string
	value    *int
	min, max int
}

// bounds returns the fields with their bounds.
func (l *ServiceLimits) bounds() []bound {
	return []bound{
		{"queue_length", l.QueueLength, 0, maxQueueLength},
		{"queue_wait_milliseconds", l.QueueWaitMilliseconds, 0, maxMilliseconds},
		{"hedge_percent", l.HedgePercent, 0, maxPercent},
		{"retry_percent", l.RetryPercent, 0, maxPercent},
		{"cold_requests", l.ColdRequests, 1, maxColdRequests},
		{"cold_milliseconds", l.ColdMilliseconds, 0, maxMilliseconds},
	}
}

// bounds returns the fields with their bounds.
func (l *AccountLimits) bounds() []bound {
	return []bound{
		{"share_weight", l.ShareWeight, 1, maxShareWeight},
		{"max_requests", l.MaxRequests, 1, maxAccountRequests},
	}
}

// checkBounds returns an error if no field is set or one is out of its bounds.
func checkBounds(subject string, bounds []bound) error {
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

// overlay returns the limits with the fields that are set in over.
func (l ServiceLimits) overlay(over ServiceLimits) ServiceLimits {
	return ServiceLimits{
		QueueLength:           either(over.QueueLength, l.QueueLength),
		QueueWaitMilliseconds: either(over.QueueWaitMilliseconds, l.QueueWaitMilliseconds),
		HedgePercent:          either(over.HedgePercent, l.HedgePercent),
		RetryPercent:          either(over.RetryPercent, l.RetryPercent),
		ColdRequests:          either(over.ColdRequests, l.ColdRequests),
		ColdMilliseconds:      either(over.ColdMilliseconds, l.ColdMilliseconds),
	}
}

// overlay returns the limits with the fields that are set in over.
func (l AccountLimits) overlay(over AccountLimits) AccountLimits {
	return AccountLimits{
		ShareWeight: either(over.ShareWeight, l.ShareWeight),
		MaxRequests: either(over.MaxRequests, l.MaxRequests),
	}
}

// either returns the first value that is set.
func either(a, b *int) *int {
	if a != nil {
		return a
	}
	return b
}

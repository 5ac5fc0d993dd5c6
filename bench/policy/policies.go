package policy

import "time"

// Limit is the name of the policy that no real one can beat.
const Limit = "central queue (limit)"

// Daemon is the name of the policy that the daemon runs.
const Daemon = "chosen"

// Named is a policy with its name.
type Named struct {
	// Name identifies the policy.
	Name string
	// Simple means that it uses only what an entry knows by itself.
	Simple bool
	// New returns the policy for one run.
	New func() Policy
}

// Policies returns all policies.
func Policies() []Named {
	all := []Named{
		{Name: Limit, New: Central},
		{Name: Daemon, New: Chosen},
		{Name: "chosen, hedged 30ms", New: func() Policy { return Hedged(30 * time.Millisecond) }},
		{Name: "chosen, hedged 60ms", New: func() Policy { return Hedged(60 * time.Millisecond) }},
		{Name: "owner picks", New: Owned},
		{Name: "slot leases", New: Leases},
		{Name: "piggyback", New: Piggyback},
		{Name: "probe pool", New: ProbePool},
		{Name: "least local", Simple: true, New: LeastLocal},
		{Name: "two choices", Simple: true, New: TwoChoices},
		{Name: "two choices, latency", Simple: true, New: TwoLatency},
		{Name: "round robin", Simple: true, New: RoundRobin},
		{Name: "random", Simple: true, New: Random},
	}
	for _, period := range []time.Duration{500 * time.Microsecond, 2 * time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		all = append(all, Named{Name: "shared " + period.String(), New: func() Policy { return Shared(period) }})
	}
	return all
}

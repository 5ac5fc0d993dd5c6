package policy

import "time"

// CentralQueueName is the name of the policy whose latency no real policy can beat.
const CentralQueueName = "central queue (limit)"

// DaemonPolicyName is the name of the policy that the daemon runs.
const DaemonPolicyName = "chosen"

// NamedPolicy is a policy with its name.
type NamedPolicy struct {
	// Name identifies the policy.
	Name string
	// LocalOnly means that an entry uses only its own observations.
	LocalOnly bool
	// New returns a new instance of the policy for one run.
	New func() Policy
}

// Policies returns all policies.
func Policies() []NamedPolicy {
	all := []NamedPolicy{
		{Name: CentralQueueName, New: CentralQueue},
		{Name: DaemonPolicyName, New: DaemonPolicy},
		{Name: "chosen, hedged 30ms", New: func() Policy { return HedgedDaemon(30 * time.Millisecond) }},
		{Name: "chosen, hedged 60ms", New: func() Policy { return HedgedDaemon(60 * time.Millisecond) }},
		{Name: "owner picks", New: OwnerPicks},
		{Name: "slot leases", New: SlotLeases},
		{Name: "piggyback", New: Piggyback},
		{Name: "probe pool", New: ProbePool},
		{Name: "least local", LocalOnly: true, New: LeastLocal},
		{Name: "two choices", LocalOnly: true, New: TwoChoices},
		{Name: "two choices, latency", LocalOnly: true, New: TwoLatency},
		{Name: "round robin", LocalOnly: true, New: RoundRobin},
		{Name: "random", LocalOnly: true, New: Random},
	}
	for _, period := range []time.Duration{500 * time.Microsecond, 2 * time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		all = append(all, NamedPolicy{Name: "shared " + period.String(), New: func() Policy { return SharedCounts(period) }})
	}
	return all
}

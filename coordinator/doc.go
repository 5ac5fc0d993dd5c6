// Package coordinator implements a control host of a deployment whose processes
// discover each other. A control host holds a replica of the declared state and
// receives heartbeats and operators' calls. The host that leads the replicated
// log also runs the broker, which issues all grants.
//
// Invariants: at most one host acts as the broker of a term, and only while its
// lease holds; no change is acknowledged before a quorum has synced it to disk,
// nor while the group has fewer voters than the settings require.
package coordinator

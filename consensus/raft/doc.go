// Package raft is the Raft consensus algorithm as a pure step function: it has
// no clock, no I/O, no goroutine and no shared random source.
//
// A driver feeds a [Core] with ticks, messages, proposals and reads, and takes
// a [Ready] after each batch of them. It sends Ready.Messages at once, persists
// HardState, Snapshot and Entries with one sync, sends Ready.AfterSync, applies
// Ready.Committed, and calls [Core.Persisted].
//
// Sources: D. Ongaro, "Consensus: Bridging Theory and Practice" (2014):
// pre-vote (9.6), quorum-checked leader (6.2), read index (6.4), one membership
// change at a time (4), learners (4.2.1), leadership transfer (3.10), and
// writing to the leader's disk in parallel (10.2.1).
//
// A [ReplicaID] names one life of a disk. A replica that lost its disk returns
// under a new one, so that an empty disk never votes for what an older one
// promised.
package raft

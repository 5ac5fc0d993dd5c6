// Package raft implements the Raft consensus algorithm as a deterministic state
// machine: it has no clock, no I/O, no goroutines and no shared random source.
//
// A driver passes ticks, messages, proposals and reads to a [Core], and takes a
// [Ready] after each batch of them. It sends Ready.Messages at once, persists
// HardState, Snapshot and Entries with one sync, sends Ready.MessagesAfterSync,
// applies Ready.Committed, and calls [Core.Persisted].
//
// The algorithm follows D. Ongaro, "Consensus: Bridging Theory and Practice"
// (2014): pre-vote (9.6), leaders that check their quorum (6.2), read index
// (6.4), one membership change at a time (4), learners (4.2.1), leadership
// transfer (3.10), and writing to the leader's disk in parallel (10.2.1).
//
// A [ReplicaID] is valid for the lifetime of a disk's content. A replica that
// lost its disk rejoins under a new ID, so that a replica with an empty disk
// cannot break the votes and acknowledgements that it gave under its old ID.
package raft

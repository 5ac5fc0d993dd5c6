// Package consensus replicates the commands of a state machine.
//
// A [Node] is one replica of one group. It runs the deterministic core of
// package raft with a clock, the disk (package wal) and a [Transport]. A
// [Replicator] orders commands, makes them durable on a quorum and applies
// them. A command is answered only after it is committed.
//
// Errors carry a verdict. The verdict is [verdict.NotRun] only where it is
// proved that the command was not and will not be committed.
package consensus

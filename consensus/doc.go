// Package consensus is the replicated log under the configuration and the
// claims of orders.
//
// A [Replicator] orders commands, makes them durable and applies them to a
// [StateMachine]. A command is answered only after it is durable.
package consensus

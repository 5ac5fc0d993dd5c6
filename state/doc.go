// Package state implements the replicated configuration: a deterministic state
// machine over the log, the operators' intents, and the plans that predict the
// effect of an intent.
//
// Nothing in this package reads a clock or does I/O, so that two replicas that
// apply the same commands hold the same [Configuration].
package state

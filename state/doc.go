// Package state is the replicated configuration: a deterministic state machine
// over the log, the operators' intents, and the plans that tell what an intent
// will do.
//
// Nothing in this package reads a clock or does I/O. Two replicas that apply
// the same commands hold the same [Configuration].
package state

// Package controlbench measures control processes: the latency of a commit, the
// time without commits after a leader's loss, the time of a restart, and what
// they use at rest.
package controlbench

// Package controlbench measures control processes: the latency of a commit, the
// time without commits after the loss of a leader, the time of a restart, and
// their resource usage when idle.
package controlbench

// Package experiment runs a deployment in separate processes under load,
// brings faults about phase by phase, and reports the three measures: tail
// latency, the cost of measuring, and service while an availability zone moves.
package experiment

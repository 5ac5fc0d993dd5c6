// Package experiment runs a deployment in separate processes under load,
// injects faults phase by phase, and reports three measures: tail latency, the
// cost of measuring load, and service while an availability zone is taken out and
// brought back.
package experiment

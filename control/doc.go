// Package control wires the parts of a control process: the replicated log,
// the administration API, and the distribution of configurations.
package control

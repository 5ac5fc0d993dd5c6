// Package entry wires the parts of an entry process: the front for callers,
// the intake for announcements, the peers, and the following of configuration.
package entry

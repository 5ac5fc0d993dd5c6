// Package capacity measures how the cost of each role grows with the size of
// the system: bytes and time for each backend server, service,
// change and claim. The figures in docs/CAPACITY.md are derived from its output.
package capacity

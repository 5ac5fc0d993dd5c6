// Package capacity measures how the cost of each role grows with the size of
// the system: bytes and processor time for each backend server, service,
// change and claim. docs/CAPACITY.md is worked out from its output.
package capacity

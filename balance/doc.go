// Package balance decides which backend server receives the next request. It is
// pure: it does no I/O and reads no clock, and the caller supplies times and random
// numbers.
package balance

// Package balance decides which backend server gets the next request. It is
// pure: it does no I/O and reads no clock, and its random source is given.
package balance

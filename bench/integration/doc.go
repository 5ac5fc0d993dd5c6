// Package integration tests the released binaries as separate processes on
// loopback addresses.
package integration

// Package integration tests the shipped binaries in separate processes on
// loopback.
package integration

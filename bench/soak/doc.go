// Package soak runs a deployment as separate processes on loopback addresses and
// injects faults from outside: it kills, pauses, stops and restarts processes by
// signals, deletes the data of control hosts, and puts a proxy in front of each
// backend server that delays, resets, truncates, silences or refuses connections.
// Meanwhile it checks the guarantees to callers and backend servers. The kinds and
// times of the faults are derived from a seed.
//
// Run it with: go test ./soak -run TestSoak -seeds 50 -length 15s -first 1000
package soak

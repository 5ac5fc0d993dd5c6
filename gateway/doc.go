// Package gateway implements an entry of a deployment whose processes discover
// each other. It accepts callers' requests, asks the broker for a backend server,
// forwards the request to it and returns the complete response. While no broker
// can be reached it chooses backend servers itself, from the state that it last
// received.
package gateway

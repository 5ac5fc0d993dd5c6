// Package policy is a discrete-event simulation that compares load balancing
// policies in virtual time. It simulates simple backend servers, entries and the
// messages between them with one event queue. It does not simulate consensus,
// membership or connections. The policy named "chosen" runs the code of the daemon.
package policy

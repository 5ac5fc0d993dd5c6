// Package policy is a virtual-time workbench that compares ways to choose a
// backend server. Small fake backend servers, entries and the messages between
// them live in one event queue; nothing is simulated of consensus, membership
// or connections. The chosen policy runs the product's own code.
package policy

// Package link carries typed messages between two processes of the system over
// one TCP connection, in both directions, as length-prefixed MessagePack.
//
// It replaces jsonrpc2 for frequent messages: the bytes sent between availability
// zones and regions are their main cost, and a JSON-RPC envelope is several times
// the size of a grant.
package link

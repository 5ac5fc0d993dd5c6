// Package peer carries jsonrpc2 between the system's own processes over TCP.
//
// A connection starts with a [MethodHello] that presents the peer key; any
// other call before it is refused and the connection closed.
package peer

// Package peer implements jsonrpc2 calls over TCP between the processes of the
// system.
//
// The first call on a connection must be [MethodHello] with the peer key. Any
// other call before it is refused and the connection is closed.
package peer

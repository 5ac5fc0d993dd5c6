package peer

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"
)

// HandleInOrder registers a handler whose calls on one connection are handled
// in the order of arrival. The handler must not block, because the connection
// is not read while it runs. HandleInOrder must be called before Serve.
func (s *Server) HandleInOrder(method string, h Handler) {
	s.Handle(method, h)
	s.inOrder[method] = true
}

// orderedHandler runs the methods registered with [Server.HandleInOrder]
// synchronously, and each call of another method in its own goroutine.
type orderedHandler struct {
	server                  *Server
	synchronous, concurrent jsonrpc2.Handler
}

// newOrderedHandler returns a handler for one connection.
func newOrderedHandler(s *Server, h jsonrpc2.Handler) orderedHandler {
	return orderedHandler{server: s, synchronous: h, concurrent: jsonrpc2.AsyncHandler(h)}
}

// Handle handles a call.
func (h orderedHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if h.server.inOrder[r.Method] {
		h.synchronous.Handle(ctx, conn, r)
		return
	}
	h.concurrent.Handle(ctx, conn, r)
}

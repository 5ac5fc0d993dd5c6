package peer

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"
)

// HandleInOrder registers a handler whose calls on one connection are carried
// out in the order of arrival. The handler must not block. It must be called
// before Serve.
func (s *Server) HandleInOrder(method string, h Handler) {
	s.Handle(method, h)
	s.ordered[method] = true
}

// orderedHandler carries out some methods in place and the others in a
// goroutine each.
type orderedHandler struct {
	server         *Server
	inPlace, async jsonrpc2.Handler
}

// newOrderedHandler returns a handler of one connection.
func newOrderedHandler(s *Server, h jsonrpc2.Handler) orderedHandler {
	return orderedHandler{server: s, inPlace: h, async: jsonrpc2.AsyncHandler(h)}
}

// Handle carries out a call.
func (h orderedHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if h.server.ordered[r.Method] {
		h.inPlace.Handle(ctx, conn, r)
		return
	}
	h.async.Handle(ctx, conn, r)
}

package membership

import (
	"context"
	"math/rand/v2"
	"time"
)

// joinTimeout bounds the search for an entry that knows the backend servers.
const joinTimeout = 2 * time.Second

// Joined is closed once the node has what another entry knows, or found no
// entry to ask. Until then the node may lack backend servers that others know.
func (n *Node) Joined() <-chan struct{} { return n.joined }

// hasJoined reports whether Joined is closed.
func (n *Node) hasJoined() bool {
	select {
	case <-n.joined:
		return true
	default:
		return false
	}
}

// join asks one other entry after another for what it knows, until one answers
// that has joined itself. Where none has, the system is starting.
func (n *Node) join(ctx context.Context) {
	defer close(n.joined)
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for _, i := range rand.Perm(len(n.links)) {
		if ctx.Err() != nil || n.sync(ctx, n.links[i].host) {
			return
		}
	}
}

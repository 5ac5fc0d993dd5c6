package membership

import (
	"context"
	"math/rand/v2"
	"time"
)

// joinTimeout bounds the time in which a starting node looks for a joined entry
// to synchronize with.
const joinTimeout = 2 * time.Second

// Joined returns a channel that is closed once the node has synchronized with
// another entry, or found no joined entry to synchronize with. Until then the
// node may lack backend servers that other entries know.
func (n *Node) Joined() <-chan struct{} { return n.joined }

// hasJoined reports whether the channel of Joined is closed.
func (n *Node) hasJoined() bool {
	select {
	case <-n.joined:
		return true
	default:
		return false
	}
}

// join synchronizes with the other entries, one after another in random order,
// until one answers that has itself joined. If none has joined, the whole
// system is starting.
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

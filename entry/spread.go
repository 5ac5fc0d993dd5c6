package entry

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"tanagerbarrow/membership"
	"tanagerbarrow/peer"
)

// The spreading of announcements to other entries.
const (
	spreadQueueCapacity = 1024
	spreadTimeout       = time.Second
)

// spreader passes announcements on to every other entry, one goroutine and one
// queue for each. A full queue drops the record; the backend server's next
// announcement replaces it.
type spreader struct {
	log   zerolog.Logger
	links []spreadLink
}

// spreadLink is the queue of one other entry.
type spreadLink struct {
	client *peer.Client
	queue  chan membership.BackendServer
}

// newSpreader returns a spreader to the given entries.
func newSpreader(others []*peer.Client, log zerolog.Logger) *spreader {
	s := &spreader{log: log}
	for _, c := range others {
		s.links = append(s.links, spreadLink{client: c, queue: make(chan membership.BackendServer, spreadQueueCapacity)})
	}
	return s
}

// push queues a record for every other entry without waiting.
func (s *spreader) push(b membership.BackendServer) {
	for _, l := range s.links {
		select {
		case l.queue <- b:
		default:
		}
	}
}

// run passes records on until ctx ends.
func (s *spreader) run(ctx context.Context) error {
	var g errgroup.Group
	for _, l := range s.links {
		g.Go(func() error {
			s.serve(ctx, l)
			return nil
		})
	}
	return g.Wait()
}

// serve passes the records of one queue on.
func (s *spreader) serve(ctx context.Context, l spreadLink) {
	for {
		select {
		case <-ctx.Done():
			l.client.Close()
			return
		case b := <-l.queue:
			s.send(ctx, l, b)
		}
	}
}

// send passes one record and all that wait behind it on.
func (s *spreader) send(ctx context.Context, l spreadLink, first membership.BackendServer) {
	batch := []membership.BackendServer{first}
	for range len(l.queue) {
		batch = append(batch, <-l.queue)
	}
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	if err := l.client.Call(ctx, peer.MethodMembers, peer.Members{Servers: batch}, &peer.Empty{}); err != nil {
		s.log.Debug().Err(err).Msg("spread failed")
	}
}

package coordinator

import (
	"slices"
	"sync"

	"tanagerbarrow/link"
)

// The bounds of connections whose peer has not introduced itself.
const (
	// maxStrangers bounds their number. All hosts of a large deployment may connect at the same
	// moment, but each introduces itself at once.
	maxStrangers = 128
	// maxStrangerFrameBytes bounds a message of such a peer, in bytes; a hello is much shorter.
	maxStrangerFrameBytes = 64 << 10
	// linkMemory is the memory of a link without messages in transit: its buffers, queue and
	// goroutines. linkMemoryDivisor sets the part of the host's memory for all links, and
	// linkDescriptorShare the part of its descriptors.
	linkMemory          = 160 << 10
	linkMemoryDivisor   = 3
	linkDescriptorShare = 0.4
)

// strangers are the connections whose peer has not introduced itself yet, oldest first, and
// the number of all. It is safe for concurrent use.
type strangers struct {
	mu sync.Mutex
	// maxLinks bounds all inbound connections; 0 for no bound.
	maxLinks, links int
	waiting         []*link.Conn
}

// maxLinks returns the bound of all inbound connections of a host with the given memory in
// bytes and number of descriptors; 0 if neither is known.
func maxLinks(memory int64, descriptors int) int {
	most := int(memory / linkMemoryDivisor / linkMemory)
	if byDescriptors := int(linkDescriptorShare * float64(descriptors)); descriptors > 0 && (most == 0 || byDescriptors < most) {
		most = byDescriptors
	}
	return most
}

// add takes in a new connection. It returns the one to close for it, which has waited longest
// without a hello; the new one itself if there is no room.
func (s *strangers) add(c *link.Conn) (toClose *link.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links++
	s.waiting = append(s.waiting, c)
	full := s.maxLinks > 0 && s.links > s.maxLinks
	if full || len(s.waiting) > maxStrangers {
		toClose = s.waiting[0]
		s.waiting = slices.Delete(s.waiting, 0, 1)
	}
	return toClose
}

// introduced records that the peer of a connection has introduced itself.
func (s *strangers) introduced(c *link.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = slices.DeleteFunc(s.waiting, func(other *link.Conn) bool { return other == c })
	c.LimitFrames(0)
}

// ended records the end of a connection.
func (s *strangers) ended(c *link.Conn) {
	s.introduced(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links--
}

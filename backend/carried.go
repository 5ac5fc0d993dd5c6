package backend

import "hash/maphash"

// maxCarried is the number of requests that a connection remembers. It carries fewer within
// the time that any caller waits.
const maxCarried = 256

// carriedSeed is the seed of the identifiers' hashes.
var carriedSeed = maphash.MakeSeed()

// carried are the requests that a connection has carried, by the hashes of their identifiers.
// A further attempt of one of them must use another connection: on this one, a late copy
// of the response to the first attempt can't be told from the response to the second.
type carried struct {
	ids []uint64
	// next is the position that the next request takes once there are maxCarried.
	next int
}

// add records a request.
func (c *carried) add(id string) {
	hash := maphash.String(carriedSeed, id)
	if len(c.ids) < maxCarried {
		c.ids = append(c.ids, hash)
		return
	}
	c.ids[c.next] = hash
	c.next = (c.next + 1) % maxCarried
}

// has reports whether a request was carried.
func (c *carried) has(id string) bool {
	hash := maphash.String(carriedSeed, id)
	for _, other := range c.ids {
		if other == hash {
			return true
		}
	}
	return false
}

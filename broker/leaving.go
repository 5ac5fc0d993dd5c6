package broker

// serverStart identifies one start of a backend server.
type serverStart struct {
	id      string
	started int64
}

// Leave removes a server that has said in a response that it leaves, and returns it; nil if the
// number is not, or no longer, that of the server. A start of a server that has left is not
// announced again.
func (b *Broker) Leave(number uint32, id string) *Server {
	s := b.servers[number]
	if s == nil || s.Record.ID != id {
		return nil
	}
	b.left[serverStart{id, s.Record.Started}] = true
	b.remove(s)
	return s
}

// HasLeft reports whether a start of a server has left.
func (b *Broker) HasLeft(id string, started int64) bool { return b.left[serverStart{id, started}] }

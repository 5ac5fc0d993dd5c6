package state

// fifo is a map of bounded size that evicts the oldest value first.
type fifo[V any] struct {
	limit  int
	values map[string]V
	order  []string
}

// newFIFO returns an empty fifo.
func newFIFO[V any](limit int) fifo[V] {
	return fifo[V]{limit: limit, values: map[string]V{}}
}

// get returns the value of a key and whether the key is present.
func (f *fifo[V]) get(key string) (V, bool) {
	v, ok := f.values[key]
	return v, ok
}

// put adds a value under a new key and evicts the oldest value if the limit is
// exceeded. A key that is already present keeps its value.
func (f *fifo[V]) put(key string, v V) {
	if _, ok := f.values[key]; ok {
		return
	}
	f.values[key] = v
	f.order = append(f.order, key)
	if len(f.order) > f.limit {
		delete(f.values, f.order[0])
		f.order = f.order[1:]
	}
}

// list returns the values, oldest first.
func (f *fifo[V]) list() []V {
	all := make([]V, 0, len(f.order))
	for _, key := range f.order {
		all = append(all, f.values[key])
	}
	return all
}

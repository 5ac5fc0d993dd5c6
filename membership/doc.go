// Package membership knows the backend servers and the entry hosts.
//
// Each entry vouches for the backend servers whose announcements it took. It
// alone writes its own registers, numbered by a version, and all others hold
// copies; a [Table] joins the registers of all entries. The join is the same
// in whatever order copies arrive: the newest generation wins, and a backend
// server that left stays gone for its generation.
//
// [Hosts] decides which entries are alive, from probes and from what other
// entries say. A [Node] carries both between entries: changes are pushed, and
// each probe compares a digest, so that a lost push is made up for.
package membership

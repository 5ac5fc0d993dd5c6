// Package membership tracks the backend servers and the entry hosts of the
// system.
//
// Each entry owns the leases of the backend servers whose announcements it
// accepted. It is the only writer of its own registers, which are numbered by a
// version; all other entries hold copies. A [Table] merges the registers of all
// entries. The result of the merge does not depend on the order in which copies
// arrive: the newest generation wins, and a backend server that left stays
// removed for that generation.
//
// [Hosts] decides which entries are alive, from its own probes and from the
// states that other entries report. A [Node] replicates both between entries:
// changes are pushed, and each probe compares a digest, so that a lost push is
// repaired by the next exchange.
package membership

package request

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
)

// idBytes is the length of an identifier, in bytes.
const idBytes = 16

// NewID returns an identifier of 32 hexadecimal digits. Its 128 random bits
// come from the runtime's ChaCha8 generator, without a system call.
func NewID() string {
	var id [idBytes]byte
	binary.LittleEndian.PutUint64(id[:8], rand.Uint64())
	binary.LittleEndian.PutUint64(id[8:], rand.Uint64())
	return hex.EncodeToString(id[:])
}

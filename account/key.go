package account

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
)

// Digest stands for a key of a client account in this process, so that no structure holds the
// key itself. The zero value stands for no key.
type Digest [sha256.Size]byte

// digestKey is the random key of this process's digests. Without it nobody can choose keys whose
// digests are close to another one, so that the time of a look-up tells nothing about the keys.
var digestKey = newDigestKey()

// newDigestKey returns a random key. Reading random bytes never fails.
func newDigestKey() []byte {
	key := make([]byte, sha256.BlockSize)
	_, _ = rand.Read(key)
	return key
}

// DigestOf returns the digest of a key: HMAC-SHA256 with a random key of the process. Digests of
// different processes can't be compared.
func DigestOf(key string) Digest {
	var d Digest
	if key == "" {
		return d
	}
	keyed := hmac.New(sha256.New, digestKey)
	_, _ = keyed.Write([]byte(key))
	keyed.Sum(d[:0])
	return d
}

// Equal reports whether two digests are equal, in constant time. No digest equals the zero value.
func (d Digest) Equal(other Digest) bool { return d != (Digest{}) && hmac.Equal(d[:], other[:]) }

package request

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"crypto/sha512"
	"encoding/base64"
	"hash"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/verdict"
)

// DigestHeader carries the digest of a body (RFC 9530).
const DigestHeader = "Content-Digest"

// ErrDigestMismatch is returned at the end of a body that does not have the
// digest of its [DigestHeader].
var ErrDigestMismatch = errors.New("the body does not match its " + DigestHeader)

// digestBufferBytes is the size of the read buffer of a checked body, in bytes.
const digestBufferBytes = 32 << 10

// digestHashes are the supported algorithms; digests of others are ignored.
var digestHashes = map[string]func() hash.Hash{"sha-256": sha256.New, "sha-512": sha512.New}

// CheckBody wraps the body so that reading it returns [ErrDigestMismatch] in place
// of its last byte if it does not match its [DigestHeader]. CheckBody returns a
// *[verdict.Error] with [verdict.NotRun] if the header is malformed.
func CheckBody(h *http.Request) error {
	for _, line := range h.Header[DigestHeader] {
		for member := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(member), "=")
			newHash, known := digestHashes[name]
			if !known {
				continue
			}
			want, err := parseDigest(value)
			if err != nil || len(want) != newHash().Size() {
				return verdict.New(verdict.NotRun, http.StatusBadRequest, "bad_digest",
					"%s has a malformed %s digest", DigestHeader, name)
			}
			h.Body = &checkedBody{
				buffered: bufio.NewReaderSize(h.Body, digestBufferBytes), body: h.Body, hash: newHash(), wantDigest: want,
			}
		}
	}
	return nil
}

// parseDigest decodes a digest, a byte sequence of a structured field.
func parseDigest(value string) ([]byte, error) {
	if len(value) < 2 || value[0] != ':' || value[len(value)-1] != ':' {
		return nil, errors.New("not a byte sequence")
	}
	return base64.StdEncoding.DecodeString(value[1 : len(value)-1])
}

// checkedBody withholds the last byte of a body until its digest is verified.
type checkedBody struct {
	buffered   *bufio.Reader
	body       io.Closer
	hash       hash.Hash
	wantDigest []byte
	checked    bool
}

// Read reads the body up to its last byte, which it returns only after the
// digest of the body is verified.
func (b *checkedBody) Read(p []byte) (int, error) {
	if b.checked || len(p) == 0 {
		return b.buffered.Read(p)
	}
	if _, err := b.buffered.Peek(2); err == nil {
		n, err := b.buffered.Read(p[:min(len(p), b.buffered.Buffered()-1)])
		b.hash.Write(p[:n])
		return n, err
	} else if !errors.Is(err, io.EOF) {
		return 0, err
	}
	last, _ := b.buffered.Peek(b.buffered.Buffered())
	b.hash.Write(last)
	if !bytes.Equal(b.hash.Sum(nil), b.wantDigest) {
		return 0, ErrDigestMismatch
	}
	b.checked = true
	return b.buffered.Read(p)
}

// Close closes the wrapped body.
func (b *checkedBody) Close() error { return b.body.Close() }

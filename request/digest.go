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

// digestBufferBytes is how much of a checked body is held, in bytes.
const digestBufferBytes = 32 << 10

// digestHashes are the algorithms that are checked; others are passed over.
var digestHashes = map[string]func() hash.Hash{"sha-256": sha256.New, "sha-512": sha512.New}

// CheckBody makes the body end with [ErrDigestMismatch] in place of its last
// byte if it does not match its [DigestHeader]. Its error is a *[verdict.Error]
// with [verdict.NotRun] for a malformed header.
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
				in: bufio.NewReaderSize(h.Body, digestBufferBytes), body: h.Body, sum: newHash(), want: want,
			}
		}
	}
	return nil
}

// parseDigest decodes a byte sequence of a structured field.
func parseDigest(value string) ([]byte, error) {
	if len(value) < 2 || value[0] != ':' || value[len(value)-1] != ':' {
		return nil, errors.New("not a byte sequence")
	}
	return base64.StdEncoding.DecodeString(value[1 : len(value)-1])
}

// checkedBody holds the last byte of a body back until its digest is right.
type checkedBody struct {
	in      *bufio.Reader
	body    io.Closer
	sum     hash.Hash
	want    []byte
	checked bool
}

// Read reads the body, all but its last byte until that is all that is left.
func (b *checkedBody) Read(p []byte) (int, error) {
	if b.checked || len(p) == 0 {
		return b.in.Read(p)
	}
	if _, err := b.in.Peek(2); err == nil {
		n, err := b.in.Read(p[:min(len(p), b.in.Buffered()-1)])
		b.sum.Write(p[:n])
		return n, err
	} else if !errors.Is(err, io.EOF) {
		return 0, err
	}
	last, _ := b.in.Peek(b.in.Buffered())
	b.sum.Write(last)
	if !bytes.Equal(b.sum.Sum(nil), b.want) {
		return 0, ErrDigestMismatch
	}
	b.checked = true
	return b.in.Read(p)
}

// Close closes the body.
func (b *checkedBody) Close() error { return b.body.Close() }

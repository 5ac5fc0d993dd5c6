package request

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"io"
	"net/http"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
)

// FuzzCheckBody checks bodies against arbitrary headers. A matching body is
// passed on unchanged, and of another one at least the last byte is withheld,
// whatever the sizes of the reads.
func FuzzCheckBody(f *testing.F) {
	sum := sha256.Sum256([]byte("tamga"))
	right := "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
	f.Add([]byte("tamga"), right)
	f.Add([]byte("tamgb"), right)
	f.Add([]byte{}, right)
	f.Add([]byte("tamga"), "md5=:AAAA:, "+right)
	f.Add([]byte("tamga"), "sha-256=::")
	f.Add([]byte("tamga"), "sha-256=AAAA")
	f.Add([]byte("tamga"), "sha-256")
	f.Fuzz(func(t *testing.T, body []byte, header string) {
		whole := sha256.Sum256(body)
		for name, read := range map[string]func(io.Reader) io.Reader{
			"at once": func(r io.Reader) io.Reader { return r }, "by byte": iotest.OneByteReader, "with error": iotest.DataErrReader,
		} {
			h := &http.Request{Header: http.Header{DigestHeader: {header}}, Body: io.NopCloser(read(bytes.NewReader(body)))}
			if CheckBody(h) != nil {
				continue
			}
			got, err := io.ReadAll(read(h.Body))
			switch {
			case err == nil && !bytes.Equal(got, body):
				t.Fatalf("%s: %q became %q", name, body, got)
			case err != nil && !errors.Is(err, ErrDigestMismatch):
				t.Fatalf("%s: %v", name, err)
			case err != nil && len(body) > 0 && len(got) == len(body):
				t.Fatalf("%s: a body that does not match was passed on whole", name)
			case header == "sha-256=:"+base64.StdEncoding.EncodeToString(whole[:])+":" && err != nil:
				t.Fatalf("%s: a correct digest is rejected", name)
			}
		}
	})
}

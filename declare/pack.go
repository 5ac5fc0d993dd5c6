package declare

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

// maxUnpackedBytes bounds an uncompressed configuration, in bytes.
const maxUnpackedBytes = 64 << 20

// maxDictionaryBytes is what DEFLATE can refer back to.
const maxDictionaryBytes = 32 << 10

// dictionary returns the part of another version's content that helps to
// compress the next one.
func dictionary(base []byte) []byte { return base[max(0, len(base)-maxDictionaryBytes):] }

// Pack compresses content with DEFLATE. The base, the content of another version,
// serves as the dictionary and may be nil.
func Pack(content, base []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriterDict(&out, flate.DefaultCompression, dictionary(base))
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(content); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Unpack decompresses the result of [Pack] with the same base.
func Unpack(packed, base []byte) ([]byte, error) {
	r := flate.NewReaderDict(bytes.NewReader(packed), dictionary(base))
	content, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes))
	return content, errors.Wrap(err, "unpack configuration")
}

// NewDocument compresses the content into a document for storage and replication.
func NewDocument(version uint64, content []byte) (Document, error) {
	packed, err := Pack(content, nil)
	return Document{Version: version, Packed: packed}, err
}

// Content returns the text as the operator wrote it, or nil before the first
// document.
func (d Document) Content() ([]byte, error) {
	if d.Version == 0 {
		return nil, nil
	}
	return Unpack(d.Packed, nil)
}

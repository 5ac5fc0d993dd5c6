package backend

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
)

// writeRequest writes a request with its RequestURI as the target, if it has one. Without it,
// [http.Request.Write] would write a target that begins with two slashes in absolute form,
// with the first part of the path as the host.
func writeRequest(out *bufio.Writer, r *http.Request) error {
	if !strings.HasPrefix(r.RequestURI, "//") {
		return r.Write(out)
	}
	return r.Write(&requestLineWriter{Writer: out, line: fmt.Sprintf("%s %s HTTP/1.1\r\n", r.Method, r.RequestURI)})
}

// requestLineWriter writes its own request line in the place of the first one that is
// written, which [http.Request.Write] writes as a whole.
type requestLineWriter struct {
	*bufio.Writer

	line string
}

// Write writes p, or the request line in its place.
func (w *requestLineWriter) Write(p []byte) (int, error) {
	if w.line == "" {
		return w.Writer.Write(p)
	}
	line := w.line
	w.line = ""
	if _, err := w.WriteString(line); err != nil {
		return 0, err
	}
	return len(p), nil
}

// WriteString writes text.
func (w *requestLineWriter) WriteString(text string) (int, error) { return w.Writer.WriteString(text) }

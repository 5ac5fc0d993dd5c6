package caller

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"tanagerbarrow/request"
	"tanagerbarrow/telemetry"
	"tanagerbarrow/verdict"
)

// forwardAnswer copies a backend server's answer to the caller. If the answer is
// truncated after its first byte was sent, it aborts the caller's connection, so
// that the answer never looks complete.
func (f *Frontend) forwardAnswer(c echo.Context, r *request.Request, start time.Time, res *http.Response) error {
	writeHeader(c, res)
	_, err := io.Copy(c.Response().Writer, res.Body)
	if err != nil {
		f.Log.Warn().Str("request_id", r.ID).Err(err).Msg("answer cut, connection aborted")
		panic(http.ErrAbortHandler)
	}
	maps.Copy(c.Response().Header(), res.Trailer)
	f.Metrics.ObserveRequest(r.Service.Name, r.ClientAccount, string(r.Class),
		verdict.Ran.String(), res.StatusCode, time.Since(start))
	return nil
}

// hopByHop are the header fields of an answer that are not forwarded.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Transfer-Encoding", "Trailer", "Upgrade"}

// writeHeader writes the status and the header of an answer, without its
// hop-by-hop fields and with this entry's request identifier and verdict.
func writeHeader(c echo.Context, res *http.Response) {
	header := c.Response().Header()
	for _, list := range res.Header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			res.Header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(res.Header, name)
	}
	id := header[telemetry.RequestIDHeader]
	for name, values := range res.Header {
		header[name] = values
	}
	header[telemetry.RequestIDHeader] = id
	header[verdict.Header] = ranHeader
	delete(res.Trailer, verdict.Header)
	delete(res.Trailer, telemetry.RequestIDHeader)
	for name := range res.Trailer {
		header["Trailer"] = append(header["Trailer"], name)
	}
	if res.ContentLength >= 0 && len(res.Trailer) == 0 && hasBody(c.Request().Method, res.StatusCode) {
		header["Content-Length"] = []string{strconv.FormatInt(res.ContentLength, 10)}
	}
	c.Response().WriteHeader(res.StatusCode)
}

// ranHeader is the value of the verdict header of a backend server's answer.
var ranHeader = []string{verdict.Ran.String()}

// hasBody reports whether an answer with the status to a request with the method
// may have a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

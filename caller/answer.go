package caller

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"tanagerbarrow/request"
	"tanagerbarrow/verdict"
)

// heldAnswerBytes is how much of an answer is read before its first byte goes
// to the caller, in bytes: an answer cut within it becomes an error response.
const heldAnswerBytes = 64 << 10

// answer passes a backend server's answer on. An answer that is cut after its
// first byte went out aborts the caller's connection, so that it never looks
// complete.
func (f *Front) answer(c echo.Context, r *request.Request, start time.Time, res *http.Response) error {
	held, err := io.ReadAll(io.LimitReader(res.Body, heldAnswerBytes))
	if err != nil {
		err = verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "answer_cut",
			"read the answer of service %q", r.Service.Name)
		return f.fail(c, r, r.ID, start, err)
	}
	f.writeHeader(c, res, held)
	_, err = io.Copy(c.Response(), io.MultiReader(bytes.NewReader(held), res.Body))
	if err != nil {
		f.Log.Warn().Str("request_id", r.ID).Err(err).Msg("answer cut, connection aborted")
		panic(http.ErrAbortHandler)
	}
	f.Metrics.Request(r.Service.Name, r.Account, string(r.Class),
		verdict.Ran.String(), res.StatusCode, time.Since(start))
	return nil
}

// writeHeader writes the status and the header of an answer.
func (f *Front) writeHeader(c echo.Context, res *http.Response, held []byte) {
	header := c.Response().Header()
	maps.Copy(header, res.Header)
	for _, name := range []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade"} {
		header.Del(name)
	}
	header.Set(verdict.Header, verdict.Ran.String())
	switch {
	case res.ContentLength >= 0:
		header.Set("Content-Length", strconv.FormatInt(res.ContentLength, 10))
	case len(held) < heldAnswerBytes && c.Request().Method != http.MethodHead:
		header.Set("Content-Length", strconv.Itoa(len(held)))
	}
	c.Response().WriteHeader(res.StatusCode)
}

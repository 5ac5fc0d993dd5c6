package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"tanagerbarrow/request"
	"tanagerbarrow/serving"
	"tanagerbarrow/state"
	"tanagerbarrow/telemetry"
	"tanagerbarrow/verdict"
)

// Dispatcher sends a classified request to a backend server.
type Dispatcher interface {
	// Dispatch returns the backend server's response or an error that carries a
	// verdict.
	Dispatch(ctx context.Context, r *request.Request, h *http.Request) (*http.Response, error)
}

// Frontend handles the requests of callers.
type Frontend struct {
	// Configuration returns the current configuration, or nil before the first.
	Configuration func() *state.Configuration
	// Dispatcher sends requests to backend servers.
	Dispatcher Dispatcher
	// Region is the region of this entry.
	Region string
	// HomeEntries returns the addresses of the entries in the regions.
	HomeEntries func(regions []string) []string
	// RequestTimeout is the timeout of a request that sets none, and the maximum.
	RequestTimeout time.Duration
	// MaxBodyBytes bounds a request's body, in bytes.
	MaxBodyBytes int64
	// Log gets a line for each failed request.
	Log zerolog.Logger
	// Metrics counts and times each request.
	Metrics *telemetry.Metrics
}

// Failure is the body of an error response.
type Failure struct {
	// Verdict states whether the request may have run.
	Verdict string `json:"verdict"`
	// Code is a short machine-readable reason.
	Code string `json:"code"`
	// Message describes what failed and where.
	Message string `json:"message"`
	// HomeEntries are the addresses of entries that serve a request with home
	// regions.
	HomeEntries []string `json:"home_entries,omitempty"`
}

// Register adds the front end's handler for every method and path.
func (f *Frontend) Register(e *echo.Echo) { e.Any("/*", f.serve) }

// serve handles one request.
func (f *Frontend) serve(c echo.Context) error {
	start := time.Now()
	h := c.Request()
	id := request.NewID()
	c.Response().Header().Set(telemetry.RequestIDHeader, id)
	r, err := f.classify(h, start)
	if r != nil && !r.AllowedIn(f.Region) {
		return f.refuseMisdirected(c, r, start)
	}
	if err != nil {
		return f.writeError(c, r, id, start, err)
	}
	r.ID = id
	if h.ContentLength != 0 {
		defer f.prepareBody(c, h)()
	}
	if err := request.CheckBody(h); err != nil {
		return f.writeError(c, r, id, start, err)
	}
	ctx, cancel := context.WithDeadline(h.Context(), r.Deadline)
	defer cancel()
	serving.AtServer(ctx, true)
	defer serving.AtServer(ctx, false)
	res, err := f.Dispatcher.Dispatch(ctx, r, h)
	if err != nil {
		return f.writeError(c, r, id, start, err)
	}
	defer func() { _ = res.Body.Close() }()
	return f.forwardResponse(c, r, start, res)
}

// classify classifies a request by its headers and the configuration. The returned
// request is nil only if there is no configuration yet.
func (f *Frontend) classify(h *http.Request, now time.Time) (*request.Request, error) {
	config := f.Configuration()
	if config == nil {
		return nil, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_configuration",
			"this entry has no configuration yet")
	}
	r, err := request.Classify(config, h, now, f.RequestTimeout)
	if err == nil && h.ContentLength > f.MaxBodyBytes {
		err = verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body_too_large",
			"the body has %d bytes, at most %d are allowed", h.ContentLength, f.MaxBodyBytes)
	}
	return r, err
}

// refuseMisdirected responds to a request that may not be served in this region
// with status 421. It writes nothing of the request to logs or metric labels.
func (f *Frontend) refuseMisdirected(c echo.Context, r *request.Request, start time.Time) error {
	f.Metrics.ObserveRequest("", "", "misdirected", verdict.NotRun.String(), http.StatusMisdirectedRequest, time.Since(start))
	c.Response().Header().Set(verdict.Header, verdict.NotRun.String())
	return writeFailure(c, http.StatusMisdirectedRequest, Failure{
		Verdict: verdict.NotRun.String(), Code: "not_a_home_region",
		Message:     "the request has home regions and " + strconv.Quote(f.Region) + " is not one of them",
		HomeEntries: f.HomeEntries(r.HomeRegions),
	})
}

// writeError records a failed request and responds with its error.
func (f *Frontend) writeError(c echo.Context, r *request.Request, id string, start time.Time, err error) error {
	e := verdict.As(err)
	service, account, class := "", "", ""
	if r != nil {
		service, account, class = r.Service.Name, r.ClientAccount, string(r.Class)
	}
	f.Metrics.ObserveRequest(service, account, class, e.Verdict.String(), e.Status, time.Since(start))
	f.Log.Warn().Str("request_id", id).Str("service", service).Str("verdict", e.Verdict.String()).
		Str("code", e.Code).Err(err).Msg("request failed")
	c.Response().Header().Set(verdict.Header, e.Verdict.String())
	return writeFailure(c, e.Status, Failure{Verdict: e.Verdict.String(), Code: e.Code, Message: err.Error()})
}

// writeFailure writes a failure with a Content-Length, so that it is complete as
// soon as it is flushed.
func writeFailure(c echo.Context, status int, f Failure) error {
	body, err := json.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode failure")
	}
	c.Response().Header().Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	return c.JSONBlob(status, body)
}

package operator

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"github.com/rs/zerolog"

	"tanagerbarrow/access"
	"tanagerbarrow/consensus"
	"tanagerbarrow/state"
	"tanagerbarrow/telemetry"
)

// Limits of the API.
const (
	commandTimeout  = 5 * time.Second
	maxRequestBytes = "64K"
	defaultHistory  = 50
	maxNameBytes    = 256
)

// API implements the administration API for operators.
type API struct {
	// Key is the operator key, which requests must present as a bearer token.
	Key string
	// Topology maps the availability zones to their regions.
	Topology state.Topology
	// Machine is the replicated configuration.
	Machine *state.Machine
	// Replicator commits commands to the replicated log.
	Replicator consensus.Replicator
	// Capacity counts the backend servers, for the figures of plans.
	Capacity state.CapacitySource
	// Hosts returns the status of the entry hosts and the control hosts, merged
	// from all control hosts.
	Hosts func(ctx context.Context) Hosts
	// Replicas are the replicated groups of the process. If nil, the routes for
	// control replicas are not registered.
	Replicas ReplicaGroups
	// Metrics counts refusals. Operators can read it through the API. It may be
	// nil.
	Metrics *telemetry.Metrics
	// Log receives the audit lines.
	Log zerolog.Logger
}

// Register adds the routes of the API.
func (a *API) Register(e *echo.Echo) {
	g := e.Group("/v1", a.authorize, middleware.BodyLimit(maxRequestBytes))
	g.GET("/status", a.status)
	g.GET("/configuration", a.configuration)
	g.GET("/history", a.history)
	g.GET("/metrics", a.metrics)
	g.POST("/plans", a.plan)
	g.POST("/plans/:id/confirm", a.confirm)
	if a.Replicas != nil {
		a.registerReplicas(g)
	}
}

// authorize is middleware that accepts only requests with the operator key.
func (a *API) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token := strings.TrimPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if access.KeyMatches(token, a.Key) {
			return next(c)
		}
		reason := access.RefusalReason(token)
		if a.Metrics != nil {
			access.CountRefusal(a.Metrics.Set, access.Operator, reason)
		}
		a.Log.Warn().Str("remote", c.Request().RemoteAddr).Str("reason", string(reason)).Msg("operator refused")
		return c.JSON(http.StatusUnauthorized, ErrorResponse{Message: "wrong or missing operator key"})
	}
}

// metrics returns the metrics of the control process.
func (a *API) metrics(c echo.Context) error {
	if a.Metrics != nil {
		a.Metrics.Write(c.Response())
	}
	return nil
}

// status returns the status of the system.
func (a *API) status(c echo.Context) error {
	hosts := a.Hosts(c.Request().Context())
	s := Status{
		Replica: a.Replicator.Status(), Version: a.Machine.Configuration().Version,
		HostVersions: map[string]uint64{}, Entries: hosts.Entries, Controls: hosts.Controls,
	}
	for _, h := range hosts.Entries {
		if h.Seen {
			s.HostVersions[h.Host] = h.Version
		}
	}
	s.UnadmittedServers = a.unadmittedServers()
	return c.JSON(http.StatusOK, s)
}

// unadmittedServers counts the backend servers of services that are not
// admitted.
func (a *API) unadmittedServers() []state.CapacityRow {
	if a.Capacity == nil {
		return nil
	}
	var rows []state.CapacityRow
	admitted := a.Machine.Configuration().Services
	for _, row := range a.Capacity.Report().Rows {
		if _, ok := admitted[row.Service]; !ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// configuration returns the newest accepted configuration.
func (a *API) configuration(c echo.Context) error {
	if err := a.readBarrier(c); err != nil {
		return unavailable(c, err)
	}
	return c.JSON(http.StatusOK, a.Machine.Configuration())
}

// history returns the newest records of the audit log.
func (a *API) history(c echo.Context) error {
	limit := defaultHistory
	if text := c.QueryParam("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return c.JSON(http.StatusBadRequest, ErrorResponse{Message: "limit " + strconv.Quote(text) + " is not a positive whole number"})
		}
		limit = n
	}
	if err := a.readBarrier(c); err != nil {
		return unavailable(c, err)
	}
	return c.JSON(http.StatusOK, History{Records: a.Machine.History(limit)})
}

// readBarrier waits until the machine has applied everything committed so far.
func (a *API) readBarrier(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), commandTimeout)
	defer cancel()
	return a.Replicator.ReadBarrier(ctx)
}

// plan returns a plan for an intent.
func (a *API) plan(c echo.Context) error {
	var r PlanRequest
	if err := c.Bind(&r); err != nil {
		return c.JSON(http.StatusBadRequest, ErrorResponse{Message: "decode intent: " + err.Error()})
	}
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	if strings.ContainsRune(r.ID, '/') || len(r.ID) > maxNameBytes {
		return c.JSON(http.StatusBadRequest, ErrorResponse{Message: "the plan's id contains a slash or has more than 256 bytes"})
	}
	if err := a.readBarrier(c); err != nil {
		return unavailable(c, err)
	}
	p, err := a.makePlan(c.Request().Context(), r.ID, r.Intent)
	if err != nil {
		return unavailable(c, err)
	}
	return c.JSON(http.StatusOK, p)
}

// confirm commits the confirmation of a plan.
func (a *API) confirm(c echo.Context) error {
	var confirmation Confirmation
	if err := c.Bind(&confirmation); err != nil {
		return c.JSON(http.StatusBadRequest, ErrorResponse{Message: "decode confirmation: " + err.Error()})
	}
	if confirmation.Operator == "" || len(confirmation.Operator) > maxNameBytes {
		return c.JSON(http.StatusBadRequest, ErrorResponse{Message: "the confirmation names no operator, or one of more than 256 bytes"})
	}
	plan := c.Param("id")
	if confirmation.ID == "" {
		confirmation.ID = plan + "/" + confirmation.Operator
	}
	answer, err := a.commitConfirmation(c.Request().Context(), state.Confirm{
		ID: confirmation.ID, Plan: plan, Digest: confirmation.Digest,
		Operator: confirmation.Operator, At: time.Now().UTC(),
	})
	if err != nil {
		return unavailable(c, err)
	}
	a.Log.Info().Str("operator", confirmation.Operator).Str("plan", plan).Str("command", confirmation.ID).
		Bool("accepted", answer.Accepted).Uint64("version", answer.Version).Str("reason", answer.Reason).Msg("audit")
	if !answer.Accepted {
		return c.JSON(http.StatusConflict, answer)
	}
	return c.JSON(http.StatusOK, answer)
}

// unavailable responds that the command or read could not be completed on the
// replicated log. The operator may send the command again with the same ID.
func unavailable(c echo.Context, err error) error {
	return c.JSON(http.StatusServiceUnavailable, ErrorResponse{Message: err.Error()})
}

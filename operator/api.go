package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"tanagerbarrow/consensus"
	"tanagerbarrow/state"
)

// The limits of the API.
const (
	maxOpenPlans   = 256
	commandTimeout = 5 * time.Second
)

// API serves operators.
type API struct {
	// Key is what operators must present as a bearer token.
	Key string
	// Places knows the availability zones.
	Places state.Places
	// Machine is the replicated configuration.
	Machine *state.Machine
	// Replicator commits commands.
	Replicator consensus.Replicator
	// Hosts returns the version in force on each entry host.
	Hosts func() map[string]uint64
	// Log receives the audit lines.
	Log zerolog.Logger

	mu    sync.Mutex
	plans map[string]state.Plan
	order []string
}

// Register adds the API's routes.
func (a *API) Register(e *echo.Echo) {
	g := e.Group("/v1", a.authorize)
	g.GET("/status", a.status)
	g.GET("/configuration", a.configuration)
	g.POST("/plans", a.plan)
	g.POST("/plans/:id/confirm", a.confirm)
}

// authorize lets in requests with the operator key.
func (a *API) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token := strings.TrimPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(token), []byte(a.Key)) != 1 {
			a.Log.Warn().Str("remote", c.RealIP()).Msg("operator presented a wrong key")
			return c.JSON(http.StatusUnauthorized, Failure{Message: "wrong or missing operator key"})
		}
		return next(c)
	}
}

// status describes the system.
func (a *API) status(c echo.Context) error {
	return c.JSON(http.StatusOK, Status{
		Replica: a.Replicator.Status(), Version: a.Machine.Configuration().Version, Hosts: a.Hosts(),
	})
}

// configuration returns the newest accepted configuration.
func (a *API) configuration(c echo.Context) error {
	if err := a.Replicator.ReadBarrier(c.Request().Context()); err != nil {
		return unavailable(c, err)
	}
	return c.JSON(http.StatusOK, a.Machine.Configuration())
}

// plan answers an intent with a plan.
func (a *API) plan(c echo.Context) error {
	var intent state.Intent
	if err := c.Bind(&intent); err != nil {
		return c.JSON(http.StatusBadRequest, Failure{Message: "decode intent: " + err.Error()})
	}
	if err := a.Replicator.ReadBarrier(c.Request().Context()); err != nil {
		return unavailable(c, err)
	}
	p := state.NewPlan(uuid.NewString(), intent, a.Machine.Configuration(), a.Places)
	if p.Refusal == "" {
		a.keep(p)
	}
	return c.JSON(http.StatusOK, p)
}

// keep holds a plan for its confirmation; the oldest is forgotten first.
func (a *API) keep(p state.Plan) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.plans == nil {
		a.plans = map[string]state.Plan{}
	}
	a.plans[p.ID] = p
	a.order = append(a.order, p.ID)
	if len(a.order) > maxOpenPlans {
		delete(a.plans, a.order[0])
		a.order = a.order[1:]
	}
}

// confirm carries out a plan.
func (a *API) confirm(c echo.Context) error {
	var confirmation Confirmation
	if err := c.Bind(&confirmation); err != nil {
		return c.JSON(http.StatusBadRequest, Failure{Message: "decode confirmation: " + err.Error()})
	}
	id := c.Param("id")
	a.mu.Lock()
	p, ok := a.plans[id]
	a.mu.Unlock()
	if !ok {
		return c.JSON(http.StatusNotFound, Failure{Message: "plan " + id + " does not exist"})
	}
	if confirmation.Digest != p.Digest {
		return c.JSON(http.StatusConflict, Failure{Message: "plan " + id + " has digest " + p.Digest})
	}
	answer, err := a.commit(c.Request().Context(), p, confirmation.Operator)
	if err != nil {
		return unavailable(c, err)
	}
	a.Log.Info().Str("operator", confirmation.Operator).Str("plan", id).Str("intent", string(p.Intent.Kind)).
		Str("subject", p.Intent.Subject).Bool("accepted", answer.Accepted).Uint64("version", answer.Version).Msg("audit")
	if !answer.Accepted {
		return c.JSON(http.StatusConflict, answer)
	}
	return c.JSON(http.StatusOK, answer)
}

// commit proposes the plan's command.
func (a *API) commit(ctx context.Context, p state.Plan, operator string) (state.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	data, err := json.Marshal(state.Command{ID: p.ID, Operator: operator, BaseVersion: p.BaseVersion, Intent: p.Intent})
	if err != nil {
		return state.Answer{}, errors.Wrapf(err, "encode plan %q", p.ID)
	}
	result, err := a.Replicator.Propose(ctx, data)
	if err != nil {
		return state.Answer{}, errors.Wrapf(err, "commit plan %q", p.ID)
	}
	var answer state.Answer
	err = json.Unmarshal(result, &answer)
	return answer, errors.Wrapf(err, "decode the answer to plan %q", p.ID)
}

// unavailable answers that the replicated log did not answer. The operator may
// send the command again with the same plan.
func unavailable(c echo.Context, err error) error {
	return c.JSON(http.StatusServiceUnavailable, Failure{Message: err.Error()})
}

package backend

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"tanagerbarrow/membership"
)

// AnnouncePath is where a backend server announces itself, by POST.
const AnnouncePath = "/v1/announce"

// AnnounceKeyHeader carries the announcement key.
const AnnounceKeyHeader = "Tanagerbarrow-Announce-Key"

// StateHeader with the value "leaving" on an answer or a refusal says that the
// backend server leaves; it then gets no new work in its generation.
const StateHeader = "Tanagerbarrow-State"

// maxAnnounceBytes bounds an announcement, in bytes.
const maxAnnounceBytes = 4 << 10

// AnnounceResponse answers an announcement.
type AnnounceResponse struct {
	// LeaseMillis is how long the announcement holds, in milliseconds. A
	// backend server announces itself again within a third of it.
	LeaseMillis int64 `json:"lease_ms"`
	// AnnounceTo is the admin address of the entry that holds the lease; the
	// next announcement had best go there. Any other entry takes it too.
	AnnounceTo string `json:"announce_to,omitempty"`
}

// AnnounceRefusal answers an announcement that breaks a rule.
type AnnounceRefusal struct {
	// Reason says which rule.
	Reason string `json:"reason"`
}

// AnnounceHandler takes announcements in.
type AnnounceHandler struct {
	// Key is what backend servers must present; empty lets all announce.
	Key string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// Announce takes a record that breaks no rule, or returns
	// [membership.ErrOldGeneration].
	Announce func(context.Context, membership.BackendServer) (membership.Grant, error)
}

// Register adds the intake's route.
func (i *AnnounceHandler) Register(e *echo.Echo) { e.POST(AnnouncePath, i.announce) }

// announce takes one announcement.
func (i *AnnounceHandler) announce(c echo.Context) error {
	presented := c.Request().Header.Get(AnnounceKeyHeader)
	if i.Key != "" && subtle.ConstantTimeCompare([]byte(presented), []byte(i.Key)) != 1 {
		return c.JSON(http.StatusUnauthorized, AnnounceRefusal{Reason: "wrong or missing " + AnnounceKeyHeader})
	}
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxAnnounceBytes)
	var b membership.BackendServer
	if err := c.Bind(&b); err != nil {
		return c.JSON(http.StatusBadRequest, AnnounceRefusal{Reason: "decode announcement: " + err.Error()})
	}
	if err := b.Check(i.Regions); err != nil {
		return c.JSON(http.StatusBadRequest, AnnounceRefusal{Reason: err.Error()})
	}
	grant, err := i.Announce(c.Request().Context(), b)
	if errors.Is(err, membership.ErrOldGeneration) {
		return c.JSON(http.StatusConflict, AnnounceRefusal{Reason: err.Error()})
	}
	if err != nil {
		return c.JSON(http.StatusServiceUnavailable, AnnounceRefusal{Reason: err.Error()})
	}
	return c.JSON(http.StatusOK, AnnounceResponse{LeaseMillis: grant.Lease.Milliseconds(), AnnounceTo: grant.Owner.AdminAddress})
}

// remainingMillis returns the time until the deadline, in milliseconds and at
// least 1.
func remainingMillis(deadline time.Time) string {
	return strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10)
}

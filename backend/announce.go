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

// AnnouncePath is the path to which a backend server posts its announcements.
const AnnouncePath = "/v1/announce"

// AnnounceKeyHeader carries the announcement key.
const AnnounceKeyHeader = "Tanagerbarrow-Announce-Key"

// StateHeader with the value "leaving" on a response or a refusal reports that
// the backend server is shutting down. It receives no new requests until it
// announces a higher generation.
const StateHeader = "Tanagerbarrow-State"

// maxAnnounceBytes is the maximum size of an announcement, in bytes.
const maxAnnounceBytes = 4 << 10

// AnnounceResponse is the body of the response to an accepted announcement.
type AnnounceResponse struct {
	// LeaseMillis is how long the announcement is valid, in milliseconds. A
	// backend server announces itself again within a third of that time.
	LeaseMillis int64 `json:"lease_ms"`
	// AnnounceTo is the admin address of the entry that holds the lease. The
	// next announcement should go there, but any other entry accepts it too.
	AnnounceTo string `json:"announce_to,omitempty"`
}

// AnnounceRefusal is the body of the response to a rejected announcement.
type AnnounceRefusal struct {
	// Reason describes why the announcement was rejected.
	Reason string `json:"reason"`
}

// AnnounceHandler authenticates, validates and registers announcements.
type AnnounceHandler struct {
	// Key is the announcement key that backend servers must present; if it is
	// empty, none is required.
	Key string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// Announce registers a valid record. It returns
	// [membership.ErrOldGeneration] if a newer generation is known.
	Announce func(context.Context, membership.BackendServer) (membership.Grant, error)
}

// Register adds the handler's route.
func (i *AnnounceHandler) Register(e *echo.Echo) { e.POST(AnnouncePath, i.announce) }

// announce handles one announcement.
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

package backend

import (
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

// maxAnnounceBytes bounds an announcement, in bytes.
const maxAnnounceBytes = 4 << 10

// Granted answers an announcement.
type Granted struct {
	// LeaseMillis is how long the announcement holds, in milliseconds. A
	// backend server announces itself again within a third of it.
	LeaseMillis int64 `json:"lease_ms"`
}

// Refusal answers an announcement that breaks a rule.
type Refusal struct {
	// Reason says which rule.
	Reason string `json:"reason"`
}

// Intake takes announcements in.
type Intake struct {
	// Key is what backend servers must present; empty lets all announce.
	Key string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// Table receives the records.
	Table *membership.Table
	// Accepted is told of every record that was taken.
	Accepted func(membership.BackendServer)
}

// Register adds the intake's route.
func (i *Intake) Register(e *echo.Echo) { e.POST(AnnouncePath, i.announce) }

// announce takes one announcement.
func (i *Intake) announce(c echo.Context) error {
	presented := c.Request().Header.Get(AnnounceKeyHeader)
	if i.Key != "" && subtle.ConstantTimeCompare([]byte(presented), []byte(i.Key)) != 1 {
		return c.JSON(http.StatusUnauthorized, Refusal{Reason: "wrong or missing " + AnnounceKeyHeader})
	}
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxAnnounceBytes)
	var b membership.BackendServer
	if err := c.Bind(&b); err != nil {
		return c.JSON(http.StatusBadRequest, Refusal{Reason: "decode announcement: " + err.Error()})
	}
	if err := b.Check(i.Regions); err != nil {
		return c.JSON(http.StatusBadRequest, Refusal{Reason: err.Error()})
	}
	err := i.Table.Put(b, time.Now())
	if errors.Is(err, membership.ErrOldGeneration) {
		return c.JSON(http.StatusConflict, Refusal{Reason: err.Error()})
	}
	i.Accepted(b)
	return c.JSON(http.StatusOK, Granted{LeaseMillis: i.Table.Lease().Milliseconds()})
}

// remainingMillis returns the time until the deadline, in milliseconds and at
// least 1.
func remainingMillis(deadline time.Time) string {
	return strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10)
}

package entry

import (
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"tanagerbarrow/access"
	"tanagerbarrow/membership"
)

// MembersPath lists the backend servers and entry hosts as this entry knows
// them. It takes the operator key.
const MembersPath = "/v1/members"

// Member is a backend server as an entry knows it.
type Member struct {
	membership.BackendServer

	// Unadmitted says that its service is not admitted, so that it gets no work.
	Unadmitted bool `json:"held,omitempty"`
}

// Members answers [MembersPath].
type Members struct {
	// Servers are the backend servers that hold a lease and are not leaving.
	Servers []Member `json:"servers"`
	// Hosts are the entry hosts that were heard of.
	Hosts []membership.HostState `json:"hosts"`
}

// listMembers answers [MembersPath].
func (e *Entry) listMembers(c echo.Context) error {
	given := strings.TrimPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
	if !access.KeyMatches(given, e.settings.Access.OperatorKey) {
		return c.JSON(http.StatusUnauthorized, "wrong or missing operator key")
	}
	all := Members{Hosts: e.members.Hosts().States()}
	config := e.follower.current()
	for service, servers := range e.members.Table().View().Services {
		held := config == nil
		if !held {
			_, admitted := config.Services[service]
			held = !admitted
		}
		for _, b := range servers {
			all.Servers = append(all.Servers, Member{BackendServer: b, Unadmitted: held})
		}
	}
	return c.JSON(http.StatusOK, all)
}

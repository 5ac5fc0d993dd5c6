package entry

import (
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"tanagerbarrow/access"
	"tanagerbarrow/membership"
)

// MembersPath is the HTTP path that lists the backend servers and entry hosts that
// this entry knows. Requests need the operator key.
const MembersPath = "/v1/members"

// Member is a backend server as an entry knows it.
type Member struct {
	membership.BackendServer

	// Unadmitted is true if the server's service is not admitted by the
	// configuration, so that the server receives no requests.
	Unadmitted bool `json:"held,omitempty"`
}

// Members is the response body for [MembersPath].
type Members struct {
	// Servers are the backend servers that hold a lease and are not leaving.
	Servers []Member `json:"servers"`
	// Hosts are the states of the known entry hosts.
	Hosts []membership.HostState `json:"hosts"`
}

// listMembers serves [MembersPath].
func (e *Entry) listMembers(c echo.Context) error {
	key := strings.TrimPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
	if !access.KeyMatches(key, e.settings.Access.OperatorKey) {
		return c.JSON(http.StatusUnauthorized, "wrong or missing operator key")
	}
	all := Members{Hosts: e.members.Hosts().States()}
	config := e.follower.current()
	for service, servers := range e.members.Table().View().Services {
		unadmitted := config == nil
		if !unadmitted {
			_, admitted := config.Services[service]
			unadmitted = !admitted
		}
		for _, b := range servers {
			all.Servers = append(all.Servers, Member{BackendServer: b, Unadmitted: unadmitted})
		}
	}
	return c.JSON(http.StatusOK, all)
}

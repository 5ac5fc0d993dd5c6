package state

import (
	"encoding/json"
	"maps"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	accounts "tanagerbarrow/account"
)

// Configuration is one numbered version of the settings that operators have
// confirmed. A published Configuration is immutable; a command creates a new one.
type Configuration struct {
	// Version counts the accepted changes. It never decreases.
	Version uint64 `json:"version"`
	// LastCommand is the ID of the command that created this version.
	LastCommand string `json:"last_command,omitempty"`
	// LastOperator is the operator who issued LastCommand.
	LastOperator string `json:"last_operator,omitempty"`
	// Services are the admitted services by name.
	Services map[string]Service `json:"services"`
	// ZonesOut are the availability zones that receive no new work.
	ZonesOut map[string]bool `json:"zones_out"`
	// AccountHomes are the home regions of pinned client accounts.
	AccountHomes map[string][]string `json:"account_homes"`
	// RouteHomes are the home regions of pinned routes, by path prefix.
	RouteHomes map[string][]string `json:"route_homes"`
	// AccountLimits are the limits of client accounts. An account without an
	// entry has the defaults.
	AccountLimits map[string]AccountLimits `json:"account_limits"`
}

// Service is an admitted service. The first path segment of a request is the
// name of its service.
type Service struct {
	// Name identifies the service.
	Name string `json:"name"`
	// Limits are the limits of the service's requests.
	Limits ServiceLimits `json:"limits"`
}

// NewConfiguration returns the empty configuration, version 0.
func NewConfiguration() *Configuration {
	return &Configuration{
		Services:     map[string]Service{},
		ZonesOut:     map[string]bool{},
		AccountHomes: map[string][]string{},
		RouteHomes:   map[string][]string{},

		AccountLimits: map[string]AccountLimits{},
	}
}

// HomeRegions returns the regions that may serve a request of the client account
// on the path. An empty result means any region. If both account and route are
// pinned, the result is the intersection of their regions, or [NoRegion] if that
// is empty.
func (c *Configuration) HomeRegions(account, path string) []string {
	return accounts.CommonRegions(c.AccountHomes[account], c.routeHome(path))
}

// NoRegion is the home region of a request whose client account and route are
// pinned to disjoint regions. It contains no availability zone.
const NoRegion = accounts.NoRegion

// routeHome returns the home regions of the longest pinned prefix of path.
func (c *Configuration) routeHome(path string) []string {
	var best string
	for prefix := range c.RouteHomes {
		if strings.HasPrefix(path, prefix) && len(prefix) > len(best) {
			best = prefix
		}
	}
	return c.RouteHomes[best]
}

// Sum returns a checksum of the whole configuration in hexadecimal. Two equal
// configurations have the same sum.
func (c *Configuration) Sum() string {
	data, err := json.Marshal(c)
	if err != nil {
		panic(errors.Wrapf(err, "encode configuration %d", c.Version))
	}
	return strconv.FormatUint(xxhash.Sum64(data), hexadecimal)
}

// hexadecimal is the base in which checksums are formatted.
const hexadecimal = 16

// clone returns a copy with its own maps, which the caller may modify.
func (c *Configuration) clone() *Configuration {
	return &Configuration{
		Version:      c.Version,
		Services:     maps.Clone(c.Services),
		ZonesOut:     maps.Clone(c.ZonesOut),
		AccountHomes: maps.Clone(c.AccountHomes),
		RouteHomes:   maps.Clone(c.RouteHomes),

		AccountLimits: maps.Clone(c.AccountLimits),
	}
}

// check returns an error if a decoded configuration is nil or has a nil map.
func (c *Configuration) check() error {
	if c == nil || c.Services == nil || c.ZonesOut == nil || c.AccountHomes == nil ||
		c.RouteHomes == nil || c.AccountLimits == nil {
		return errors.New("configuration is nil or has a missing map")
	}
	return nil
}

// DecodeConfiguration decodes a configuration from JSON. It returns an error if
// the data is invalid or a map is missing.
func DecodeConfiguration(data []byte) (*Configuration, error) {
	var c Configuration
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	return &c, c.check()
}

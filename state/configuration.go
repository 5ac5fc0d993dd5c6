package state

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Configuration is one numbered version of what operators have confirmed. A
// published Configuration is never changed; a command yields a new one.
type Configuration struct {
	// Version counts accepted changes; it never goes back.
	Version uint64 `json:"version"`
	// LastCommand is the command that made this version.
	LastCommand string `json:"last_command,omitempty"`
	// LastOperator is who confirmed LastCommand.
	LastOperator string `json:"last_operator,omitempty"`
	// Services are the admitted services by name.
	Services map[string]Service `json:"services"`
	// ZonesOut are the availability zones that receive no new work.
	ZonesOut map[string]bool `json:"zones_out"`
	// AccountHomes are the home regions of pinned client accounts.
	AccountHomes map[string][]string `json:"account_homes"`
	// RouteHomes are the home regions of pinned routes, by path prefix.
	RouteHomes map[string][]string `json:"route_homes"`
	// AccountLimits bound client accounts; an absent one has the defaults.
	AccountLimits map[string]AccountLimits `json:"account_limits"`
}

// Service is an admitted service. Its requests have its name as the first
// segment of their path.
type Service struct {
	// Name identifies the service.
	Name string `json:"name"`
	// Limits bound the service's requests.
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

// HomeRegions returns the regions that may serve a request of the account on
// the path. Empty means any. Where both account and route are pinned, only
// regions in both remain; if none does, the result is [NoRegion].
func (c *Configuration) HomeRegions(account, path string) []string {
	byAccount := c.AccountHomes[account]
	byRoute := c.routeHome(path)
	if len(byAccount) == 0 {
		return byRoute
	}
	if len(byRoute) == 0 {
		return byAccount
	}
	var both []string
	for _, region := range byAccount {
		if slices.Contains(byRoute, region) {
			both = append(both, region)
		}
	}
	if len(both) == 0 {
		return []string{NoRegion}
	}
	return both
}

// NoRegion is the home of a request whose pins contradict each other. No
// availability zone lies in it.
const NoRegion = "none"

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

// hexadecimal is the base of a checksum in text.
const hexadecimal = 16

// clone returns a copy whose maps can be changed.
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

// check returns an error if a part of a decoded configuration is absent.
func (c *Configuration) check() error {
	if c == nil || c.Services == nil || c.ZonesOut == nil || c.AccountHomes == nil ||
		c.RouteHomes == nil || c.AccountLimits == nil {
		return errors.New("configuration lacks a part")
	}
	return nil
}

// DecodeConfiguration decodes a configuration from JSON and checks that it is
// whole.
func DecodeConfiguration(data []byte) (*Configuration, error) {
	var c Configuration
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	return &c, c.check()
}

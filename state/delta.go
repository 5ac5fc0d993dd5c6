package state

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"
)

// Changes are the differences between two maps.
type Changes[V any] struct {
	// Set holds the new and the changed values.
	Set map[string]V `json:"set,omitempty"`
	// Removed holds the removed keys, sorted.
	Removed []string `json:"removed,omitempty"`
}

// Delta is the difference from the configuration of version From to that of
// version To.
type Delta struct {
	// From is the version that the delta applies to.
	From uint64 `json:"from"`
	// To is the version of the result.
	To uint64 `json:"to"`
	// Sum is the checksum of the result; see [Configuration.Sum].
	Sum string `json:"sum"`
	// LastCommand and LastOperator are those of the result.
	LastCommand  string `json:"last_command"`
	LastOperator string `json:"last_operator"`
	// The changes of each map of the configuration.
	Services      Changes[Service]       `json:"services,omitzero"`
	ZonesOut      Changes[bool]          `json:"zones_out,omitzero"`
	AccountHomes  Changes[[]string]      `json:"account_homes,omitzero"`
	RouteHomes    Changes[[]string]      `json:"route_homes,omitzero"`
	AccountLimits Changes[AccountLimits] `json:"account_limits,omitzero"`
}

// NewDelta returns the difference between two configurations.
func NewDelta(from, to *Configuration) *Delta {
	return &Delta{
		From: from.Version, To: to.Version, Sum: to.Sum(),
		LastCommand: to.LastCommand, LastOperator: to.LastOperator,
		Services:      compare(from.Services, to.Services),
		ZonesOut:      compare(from.ZonesOut, to.ZonesOut),
		AccountHomes:  compare(from.AccountHomes, to.AccountHomes),
		RouteHomes:    compare(from.RouteHomes, to.RouteHomes),
		AccountLimits: compare(from.AccountLimits, to.AccountLimits),
	}
}

// Apply returns the configuration of version To. It returns an error if c is not
// of version From or the result has the wrong checksum.
func (d *Delta) Apply(c *Configuration) (*Configuration, error) {
	if c.Version != d.From {
		return nil, errors.Newf("delta starts at version %d, the configuration has version %d", d.From, c.Version)
	}
	next := c.clone()
	next.Version, next.LastCommand, next.LastOperator = d.To, d.LastCommand, d.LastOperator
	d.Services.apply(next.Services)
	d.ZonesOut.apply(next.ZonesOut)
	d.AccountHomes.apply(next.AccountHomes)
	d.RouteHomes.apply(next.RouteHomes)
	d.AccountLimits.apply(next.AccountLimits)
	if sum := next.Sum(); sum != d.Sum {
		return nil, errors.Newf("configuration %d has checksum %s after the delta, want %s", d.To, sum, d.Sum)
	}
	return next, nil
}

// compare returns the difference between two maps.
func compare[V any](from, to map[string]V) Changes[V] {
	c := Changes[V]{}
	for key, value := range to {
		if old, ok := from[key]; ok && reflect.DeepEqual(old, value) {
			continue
		}
		if c.Set == nil {
			c.Set = map[string]V{}
		}
		c.Set[key] = value
	}
	for key := range from {
		if _, ok := to[key]; !ok {
			c.Removed = append(c.Removed, key)
		}
	}
	slices.Sort(c.Removed)
	return c
}

// apply applies the changes to m.
func (c Changes[V]) apply(m map[string]V) {
	maps.Copy(m, c.Set)
	for _, key := range c.Removed {
		delete(m, key)
	}
}

// describe returns the differences between two configurations, one line per
// value.
func describe(before, after *Configuration) []string {
	var lines []string
	lines = append(lines, describeMap("service", before.Services, after.Services)...)
	lines = append(lines, describeMap("availability zone out", before.ZonesOut, after.ZonesOut)...)
	lines = append(lines, describeMap("home of client account", before.AccountHomes, after.AccountHomes)...)
	lines = append(lines, describeMap("home of route", before.RouteHomes, after.RouteHomes)...)
	return append(lines, describeMap("limits of client account", before.AccountLimits, after.AccountLimits)...)
}

// describeMap returns a line for each set key and then for each removed key,
// sorted by key.
func describeMap[V any](what string, before, after map[string]V) []string {
	c := compare(before, after)
	var lines []string
	for _, key := range slices.Sorted(maps.Keys(c.Set)) {
		old := "none"
		if value, ok := before[key]; ok {
			old = compactJSON(value)
		}
		lines = append(lines, fmt.Sprintf("%s %q: %s -> %s", what, key, old, compactJSON(c.Set[key])))
	}
	for _, key := range c.Removed {
		lines = append(lines, fmt.Sprintf("%s %q: %s -> none", what, key, compactJSON(before[key])))
	}
	return lines
}

// compactJSON returns a value as JSON without whitespace.
func compactJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "encode a value of the configuration"))
	}
	return string(data)
}

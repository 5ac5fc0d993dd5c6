package coordinator

import (
	"fmt"
	"slices"
	"testing"

	"tanagerbarrow/broker"
	"tanagerbarrow/protocol"
)

// TestEntriesKnowRelaysOfAllRegions checks that an entry knows relays of each region and of
// several zones, not itself, that entries know different ones, and that they keep them when
// another entry leaves.
func TestEntriesKnowRelaysOfAllRegions(t *testing.T) {
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
	zones := []string{"a1", "a2", "b1", "b2"}
	all := map[string]broker.Relay{}
	for n := range 24 {
		all[fmt.Sprint("e", n)] = broker.Relay{Address: fmt.Sprint("at e", n), AvailabilityZone: zones[n%4]}
	}
	uses := map[string]int{}
	chosen := map[string][]protocol.Relay{}
	for name := range all {
		relays := chooseRelays(name, relayRing(all), all, regions)
		chosen[name] = relays
		perRegion, perZone := map[string]int{}, map[string]int{}
		for _, r := range relays {
			uses[r.Address]++
			perRegion[regions[r.AvailabilityZone]]++
			perZone[r.AvailabilityZone]++
		}
		if perRegion["a"] != relaysPerRegion || perRegion["b"] != relaysPerRegion || len(perZone) != 4 {
			t.Errorf("%s knows %v", name, relays)
		}
		if slices.Contains(relays, protocol.Relay{Address: "at " + name, AvailabilityZone: all[name].AvailabilityZone}) {
			t.Errorf("%s is its own relay", name)
		}
	}
	if len(uses) < 20 {
		t.Errorf("only %d of 24 entries are used as relays", len(uses))
	}
	delete(all, "e7")
	changed := 0
	for name := range all {
		if !slices.Equal(chooseRelays(name, relayRing(all), all, regions), chosen[name]) {
			changed++
		}
	}
	if changed > uses["at e7"] {
		t.Errorf("%d entries have other relays, %d knew the one that left", changed, uses["at e7"])
	}
	alone := map[string]broker.Relay{"e1": all["e1"]}
	if got := chooseRelays("e1", relayRing(alone), alone, regions); len(got) != 0 {
		t.Errorf("a single entry knows %v", got)
	}
}

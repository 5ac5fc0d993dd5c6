package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestReturnedZonesRecordsTimesOfReturn(t *testing.T) {
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	out := func(zones ...string) map[string]bool {
		m := map[string]bool{}
		for _, z := range zones {
			m[z] = true
		}
		return m
	}
	var r ReturnedZones
	for i, step := range []struct {
		out  map[string]bool
		at   int64
		want map[string]int64
	}{
		{out("b"), 1, nil},
		{out(), 2, map[string]int64{"b": 2}},
		{out("a"), 3, map[string]int64{"b": 2}},
		{out("a", "b"), 4, nil},
		{out("b"), 5, map[string]int64{"a": 5}},
		{out(), 6, map[string]int64{"a": 5, "b": 6}},
	} {
		r.Apply(step.out, at(step.at))
		if len(r.Since()) != len(step.want) {
			t.Fatalf("step %d: returned %v, want %v", i, r.Since(), step.want)
		}
		for zone, want := range step.want {
			if got := r.Since()[zone]; !got.Equal(at(want)) {
				t.Fatalf("step %d: zone %s returned at %v, want %d", i, zone, got, want)
			}
		}
	}
}

func TestShareOfAReturnedZoneGrows(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const draws = 20000
	last := -1
	for _, tenth := range []int{0, 2, 4, 6, 8, 10} {
		back := int64(rampTime) / 10 * int64(tenth)
		admitted := 0
		for range draws {
			if rampAdmits(back, random.Uint64()) {
				admitted++
			}
		}
		want := max(draws/20, draws*tenth/10)
		if admitted <= last || admitted < want*9/10 || admitted > want*11/10 {
			t.Errorf("after %d tenths %d of %d choices are admitted, want about %d", tenth, admitted, draws, want)
		}
		last = admitted
	}
	if !rampAdmits(int64(rampTime), ^uint64(0)) {
		t.Error("not all choices are admitted at the end of the ramp")
	}
}

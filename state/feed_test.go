package state

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// applyUpdate applies an update to a feed as an entry does.
func applyUpdate(f *Feed, u Update) error {
	next, err := f.Resolve(u)
	if err == nil && next != nil {
		f.Advance(next)
	}
	return err
}

// roundTrip encodes and decodes an update.
func roundTrip(t rapid.TB, u Update) Update {
	data, err := json.Marshal(u)
	if err != nil {
		t.Fatal(err)
	}
	var got Update
	if err := json.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	return got
}

func TestFollowerNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{machine: NewMachine()}
		follower := NewFeed()
		bySum := map[uint64]string{0: h.machine.Configuration().Sum()}
		var seen []Update
		var version uint64
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			h.step(t, n)
			newest := h.machine.Configuration()
			bySum[newest.Version] = newest.Sum()
			have := rapid.Uint64Range(0, newest.Version).Draw(t, "have")
			seen = append(seen, roundTrip(t, h.machine.Feed().Since(have, rapid.Bool().Draw(t, "known"))))
			for range rapid.IntRange(0, 3).Draw(t, "deliveries") {
				_ = applyUpdate(follower, rapid.SampledFrom(seen).Draw(t, "update"))
				if follower.Current() == nil {
					continue
				}
				if follower.Version() < version {
					t.Fatalf("version decreased from %d to %d", version, follower.Version())
				}
				version = follower.Version()
				if got := follower.Current().Sum(); got != bySum[version] {
					t.Fatalf("version %d has checksum %s, want %s", version, got, bySum[version])
				}
			}
		}
		if err := applyUpdate(follower, roundTrip(t, h.machine.Feed().Since(follower.Version(), follower.Current() != nil))); err != nil {
			t.Fatal(err)
		}
		if follower.Version() != h.machine.Configuration().Version {
			t.Fatalf("ended at version %d, want %d", follower.Version(), h.machine.Configuration().Version)
		}
	})
}

func TestSinceReturnsFullConfigurationForEvictedVersion(t *testing.T) {
	f := NewFeed()
	for v := range uint64(maxRetained + 2) {
		c := NewConfiguration()
		c.Version = v
		f.Advance(c)
	}
	if u := f.Since(1, true); u.Full == nil || u.Delta != nil {
		t.Errorf("an evicted version got %+v", u)
	}
	if u := f.Since(2, true); u.Full != nil || u.Delta == nil {
		t.Errorf("the oldest retained version got %+v", u)
	}
	if f.Advance(NewConfiguration()) {
		t.Error("the feed accepted an older version")
	}
}

func TestDamagedDeltaIsRefused(t *testing.T) {
	old := NewConfiguration()
	next := Intent{Kind: AdmitService, Subject: "a"}.apply(old)
	d := NewDelta(old, next)
	d.Services.Set["b"] = Service{Name: "b"}
	f := NewFeed()
	f.Advance(old)
	if err := applyUpdate(f, Update{Delta: d}); err == nil || f.Version() != 0 {
		t.Fatalf("version %d, %v", f.Version(), err)
	}
}

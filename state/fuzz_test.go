package state

import (
	"encoding/json"
	"testing"
)

// seedCommands returns a plan and its confirmation, encoded.
func seedCommands(f *testing.F) [][]byte {
	i := Intent{Kind: SetServiceLimits, Subject: "a", ServiceLimits: &ServiceLimits{QueueLength: pointer(1)}}
	p := Plan{ID: "p", Digest: "d", Intent: i}
	var seeds [][]byte
	for _, c := range []Command{{Plan: &p}, {Confirm: &Confirm{ID: "c", Plan: "p", Digest: "d"}}} {
		data, err := json.Marshal(c)
		if err != nil {
			f.Fatal(err)
		}
		seeds = append(seeds, data)
	}
	return append(seeds, []byte(`{"plan":{"id":"p","digest":"d","intent":{"kind":"set-service-limits","subject":"a"}}}`))
}

// FuzzApply applies a fuzzed command and then a confirmation of plan "p".
func FuzzApply(f *testing.F) {
	for _, seed := range seedCommands(f) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := NewMachine()
		_, _ = m.Apply(data)
		_, _ = m.Apply([]byte(`{"confirm":{"id":"c","plan":"p","digest":"d"}}`))
		if err := NewMachine().Restore([]byte(snapshotOf(t, m))); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzRestore(f *testing.F) {
	f.Add([]byte(`{"config":null}`))
	f.Add([]byte(`{"config":{"services":{"a":{"name":"a"}}},"plans":[{"id":"p","digest":"d","intent":{"kind":"retire-service","subject":"a"}}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		m := NewMachine()
		if m.Restore(data) != nil {
			return
		}
		_, _ = m.Apply([]byte(`{"confirm":{"id":"c","plan":"p","digest":"d"}}`))
	})
}

func FuzzUpdate(f *testing.F) {
	old := NewConfiguration()
	next := Intent{Kind: AdmitService, Subject: "a"}.apply(old)
	for _, u := range []Update{{Full: next}, {Delta: NewDelta(old, next)}, {}} {
		data, err := json.Marshal(u)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var u Update
		if json.Unmarshal(data, &u) != nil {
			return
		}
		feed := NewFeed()
		feed.Advance(NewConfiguration())
		_ = applyUpdate(feed, u)
		if feed.Current().check() != nil {
			t.Fatal("a configuration with a missing map was applied")
		}
	})
}

func FuzzDecodeConfiguration(f *testing.F) {
	data, err := json.Marshal(NewConfiguration())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeConfiguration(data)
		if err == nil && c.check() != nil {
			t.Fatal("a configuration with a missing map was accepted")
		}
	})
}

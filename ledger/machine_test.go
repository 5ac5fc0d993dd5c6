package ledger

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "6") }

// apply executes one command.
func apply(t rapid.TB, m *Machine, c Command) Result {
	t.Helper()
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := m.Apply(data)
	if err != nil {
		t.Fatal(err)
	}
	var r Result
	if err := json.Unmarshal(encoded, &r); err != nil {
		t.Fatal(err)
	}
	return r
}

// TestOneHolderOfAKey applies random commands, including repeated and delayed ones.
// A token that was granted a key may lose it only by its own release or by expiry.
func TestOneHolderOfAKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine()
		m.bounds = bounds{claims: 12, answersBytes: 4000}
		type holder struct {
			token string
			since int64
		}
		holders := map[string]holder{}
		now := int64(1_000)
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			now += rapid.Int64Range(0, Lifetime.Milliseconds()/4).Draw(t, "pause")
			c := Command{
				Op:     rapid.SampledFrom([]Op{OpClaim, OpClaim, OpClaim, OpSettle, OpRelease}).Draw(t, "op"),
				Key:    rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key"),
				Token:  fmt.Sprint("t", rapid.IntRange(1, 4).Draw(t, "token")),
				Digest: "d", Response: &Response{Status: 200, Body: make([]byte, 1000)},
				Now: now - rapid.Int64Range(0, 500).Draw(t, "clock lag"),
			}
			r := apply(t, m, c)
			held, isHeld := holders[c.Key]
			if isHeld && now-held.since >= Lifetime.Milliseconds()-1000 {
				isHeld = false
				delete(holders, c.Key)
			}
			switch {
			case r.Outcome == Granted && isHeld && held.token != c.Token:
				t.Fatalf("key %s is granted to %s while %s holds it", c.Key, c.Token, held.token)
			case r.Outcome == Granted && !isHeld:
				holders[c.Key] = holder{token: c.Token, since: now}
			case c.Op == OpRelease && r.Outcome == Released && isHeld && held.token == c.Token:
				delete(holders, c.Key)
			case c.Op == OpClaim && isHeld && held.token != c.Token && r.Outcome != Pending && r.Outcome != Settled:
				t.Fatalf("claim of a held key: %+v", r)
			}
			if len(m.expiryQueue) > m.bounds.claims || m.answersBytes > m.bounds.answersBytes {
				t.Fatalf("%d grants and %d bytes of answers", len(m.expiryQueue), m.answersBytes)
			}
			checkSnapshot(t, m)
		}
	})
}

// checkSnapshot checks that a ledger restored from a snapshot has the same state.
func checkSnapshot(t *rapid.T, m *Machine) {
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewMachine()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(data), string(again)); diff != "" || restored.answersBytes != m.answersBytes {
		t.Fatalf("restored ledger differs: %s", diff)
	}
}

func TestOutcomes(t *testing.T) {
	m := NewMachine()
	m.bounds = bounds{claims: 3, answersBytes: 1 << 20}
	claim := func(key, token, digest string) Command {
		return Command{Op: OpClaim, Key: key, Token: token, Digest: digest}
	}
	large := &Response{Status: 201, Body: make([]byte, MaxResponseBytes+MaxHeaderBytes+1)}
	late := Lifetime.Milliseconds()
	for i, step := range []struct {
		c    Command
		want Outcome
	}{
		{claim("a", "1", "x"), Granted},
		{claim("a", "1", "x"), Granted},
		{claim("a", "2", "x"), Pending},
		{claim("a", "2", "y"), Conflict},
		{Command{Op: OpRelease, Key: "a", Token: "2"}, Released},
		{claim("a", "3", "x"), Pending},
		{Command{Op: OpSettle, Key: "a", Token: "1", Response: large}, Settled},
		{Command{Op: OpRelease, Key: "a", Token: "1"}, Settled},
		{claim("a", "3", "x"), Settled},
		{Command{Op: OpRelease, Key: "b", Token: "1"}, Released},
		{claim("b", "1", "x"), Released}, // delayed
		{claim("b", "2", "x"), Granted},
		{claim("c", "1", "x"), Full},
		{Command{Op: OpClaim, Key: "c", Token: "1", Now: late - 1}, Full},
		{Command{Op: OpClaim, Key: "c", Token: "1", Now: late}, Granted},
		{claim("a", "4", "z"), Granted}, // expired after its lifetime
	} {
		if r := apply(t, m, step.c); r.Outcome != step.want {
			t.Fatalf("step %d, %+v: %s, want %s", i, step.c.Op, r.Outcome, step.want)
		} else if r.Outcome == Settled && (r.Response == nil || !r.Response.Omitted || r.Response.Status != 201) {
			t.Fatalf("step %d: answer %+v, want it omitted", i, r.Response)
		}
	}
}

func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"op":"claim","key":"k","token":"t","digest":"d","now":1}`), []byte(`{"now":1}`))
	f.Add([]byte(`{"op":"settle","key":"k","token":"t","answer":{"status":200,"body":"eA=="}}`), []byte(`{"claims":[{"key":"AA=="}],"queue":[{"key":"AA=="}]}`))
	f.Add([]byte(`{"op":"release"}`), []byte(`[]`))
	f.Add([]byte(`{"op":"claim","now":9223372036854775807}`), []byte(`{"queue":[{}],"now":-9223372036854775808}`))
	f.Fuzz(func(_ *testing.T, command, snapshot []byte) {
		m := NewMachine()
		_ = m.Restore(snapshot)
		_, _ = m.Apply(command)
		_, _ = m.Apply([]byte(`{"op":"claim","key":"k","token":"u"}`))
	})
}

package entry

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/state"
)

// removeStoredConfiguration removes the copy on disk, if there is one.
func removeStoredConfiguration(folder string) error {
	err := os.Remove(filepath.Join(folder, storeFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}

func TestFenceAndRelayDependOnContact(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for name, c := range map[string]struct {
		contact           *contactTracker
		control, relay    time.Duration
		relayProof        time.Duration
		now               time.Duration
		needsRelay, fence bool
	}{
		"in touch":                     {&contactTracker{hasRelays: true}, 9 * time.Second, 0, 0, 10 * time.Second, false, false},
		"control silent, not yet long": {&contactTracker{hasRelays: true}, 9 * time.Second, 0, 0, 12 * time.Second, false, false},
		"control silent":               {&contactTracker{hasRelays: true}, 9 * time.Second, 0, 0, 13 * time.Second, true, false},
		"alone":                        {&contactTracker{hasRelays: true}, 9 * time.Second, 0, 0, 15 * time.Second, true, true},
		"relayed":                      {&contactTracker{hasRelays: true}, 9 * time.Second, 14 * time.Second, 0, 15 * time.Second, true, false},
		"region cut off":               {&contactTracker{hasRelays: true}, 9 * time.Second, 100 * time.Second, 90 * time.Second, 101 * time.Second, true, false},
		"region cut off, age bounded":  {&contactTracker{hasRelays: true, maxAge: time.Minute}, 9 * time.Second, 100 * time.Second, 90 * time.Second, 101 * time.Second, true, true},
		"relayed afresh, age bounded":  {&contactTracker{hasRelays: true, maxAge: time.Minute}, 9 * time.Second, 100 * time.Second, time.Second, 101 * time.Second, true, false},
		"sole entry":                   {&contactTracker{}, 9 * time.Second, 0, 0, time.Hour, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			c.contact.start(start)
			c.contact.recordControlResponse(at(c.control), 0)
			if c.relay > 0 {
				c.contact.recordResponse(at(c.relay), c.relayProof.Milliseconds())
			}
			if got := c.contact.needsRelay(at(c.now)); got != c.needsRelay {
				t.Errorf("needs relay is %t", got)
			}
			if got := c.contact.fenced(at(c.now)); got != c.fence {
				t.Errorf("fenced is %t", got)
			}
		})
	}
}

func TestOutdatedRelayDoesNotLowerTheConfigurationAge(t *testing.T) {
	now := time.Unix(1000, 0)
	var c contactTracker
	c.start(now)
	c.recordControlResponse(now, 0)
	c.recordResponse(now.Add(time.Second), time.Hour.Milliseconds())
	if got := c.configurationAge(now.Add(time.Second)); got != time.Second {
		t.Fatalf("age is %s", got)
	}
}

func TestStartWithoutControlUsesTheDiskAloneAndIsFencedAlone(t *testing.T) {
	folder := t.TempDir()
	if err := newTestFollower(t, folder).apply(state.Update{Full: version(7)}); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		folder string
		want   uint64
	}{"with a disk": {folder, 7}, "without a disk": {"", 0}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFollower(t, c.folder)
				f.contact.hasRelays = true
				var fenced []bool
				f.fenceChanged = func(now bool) { fenced = append(fenced, now) }
				f.contact.start(time.Now())
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- f.monitorContact(ctx) }()
				time.Sleep(diskFallbackDelay - time.Millisecond)
				synctest.Wait()
				if f.current() != nil {
					t.Error("applied before the delay ended")
				}
				time.Sleep(time.Second)
				synctest.Wait()
				if got := f.feed.Version(); got != c.want || (f.current() == nil) != (c.folder == "") {
					t.Errorf("version %d is in force, want %d", got, c.want)
				}
				if f.serving() != nil || len(fenced) != 1 || !fenced[0] {
					t.Errorf("an entry without contact serves; fences: %v", fenced)
				}
				f.contact.recordResponse(time.Now(), 0)
				time.Sleep(contactCheckPeriod)
				synctest.Wait()
				if (f.serving() == nil) != (c.folder == "") || len(fenced) != 2 || fenced[1] {
					t.Errorf("an entry with contact again does not serve; fences: %v", fenced)
				}
				cancel()
				if err := <-done; err != nil {
					t.Error(err)
				}
			})
		})
	}
}

package reload

import (
	"context"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"tanagerbarrow/fleet"
)

// file is a settings file: a host's name, then its seeds, separated by spaces.
type file struct {
	mu      sync.Mutex
	content string
	err     error
	reads   int
}

func (f *file) read() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	return []byte(f.content), f.err
}

func (f *file) write(content string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.content, f.err = content, err
}

// parse decodes the content of a file.
func parse(content []byte) (*fleet.Settings, error) {
	words := strings.Fields(string(content))
	if len(words) == 0 {
		return nil, errors.New("the file is empty")
	}
	s := &fleet.Settings{Host: fleet.Host{Name: words[0]}}
	for _, word := range words[1:] {
		seed, err := netip.ParseAddrPort(word)
		if err != nil {
			return nil, err
		}
		s.Seeds = append(s.Seeds, seed)
	}
	return s, nil
}

// TestSeedsFollowTheFile guards against processes that know only the seeds of their start. The
// file changes without a signal; what can't be used leaves the seeds as they are.
func TestSeedsFollowTheFile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &file{}
		f.write("h 10.0.0.1:1", nil)
		current, _ := parse([]byte("h 10.0.0.1:1"))
		var log strings.Builder
		var applied []string
		w := &Watcher{
			Read: f.read, Parse: parse, Current: current, Log: zerolog.New(&log),
			SetSeeds: func(s *fleet.Settings) {
				for _, seed := range s.Seeds {
					applied = append(applied, seed.String())
				}
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		hup := make(chan os.Signal, 1)
		go w.Run(ctx, hup)
		synctest.Wait()
		for _, step := range []struct {
			name, content string
			err           error
			want          []string
		}{
			{"unchanged", "h 10.0.0.1:1", nil, nil},
			{"new seeds", "h 10.0.0.2:1 10.0.0.3:1", nil, []string{"10.0.0.2:1", "10.0.0.3:1"}},
			{"the same again", "h  10.0.0.2:1 10.0.0.3:1", nil, nil},
			{"empty", "", nil, nil},
			{"cut in an address", "h 10.0.0.4:1 10.0.", nil, nil},
			{"cut before the seeds", "h", nil, nil},
			{"another host's", "g 10.0.0.4:1", nil, nil},
			{"unreadable", "", errors.New("no such file"), nil},
			{"whole again, as before", "h 10.0.0.2:1 10.0.0.3:1", nil, nil},
			{"the first ones", "h 10.0.0.1:1", nil, []string{"10.0.0.1:1"}},
		} {
			applied = nil
			f.write(step.content, step.err)
			for range 3 {
				time.Sleep(pollInterval)
				synctest.Wait()
			}
			if !slices.Equal(applied, step.want) {
				t.Errorf("%s: seeds set to %v, want %v", step.name, applied, step.want)
			}
		}
		if n := strings.Count(log.String(), "settings_unreadable"); n != 5 {
			t.Errorf("%d lines about settings that can't be used, want one for each", n)
		}
	})
}

// TestSignalReadsAtOnce sends a signal between two periodic reads.
func TestSignalReadsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &file{content: "h 10.0.0.1:1"}
		current, _ := parse([]byte(f.content))
		set := 0
		w := &Watcher{Read: f.read, Parse: parse, Current: current, Log: zerolog.Nop(), SetSeeds: func(*fleet.Settings) { set++ }}
		hup := make(chan os.Signal, 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.Run(ctx, hup)
		synctest.Wait()
		f.write("h 10.0.0.2:1", nil)
		hup <- syscall.SIGHUP
		synctest.Wait()
		if set != 1 || f.reads != 2 {
			t.Errorf("seeds were set %d times after %d reads", set, f.reads)
		}
	})
}

// Package reload follows the settings file of a running process, so that it learns of
// control hosts that have replaced those of its start.
package reload

import (
	"bytes"
	"context"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"tanagerbarrow/fleet"
)

// pollInterval is the time between two reads of the file, which may change without a
// signal.
const pollInterval = time.Second

// Watcher reads the settings file periodically and after each signal. Only the seeds
// change while a process runs; other changes take effect at the next start.
type Watcher struct {
	// Read returns the content of the file.
	Read func() ([]byte, error)
	// Parse decodes and validates the content.
	Parse func([]byte) (*fleet.Settings, error)
	// Current are the settings of the start, which stay unchanged.
	Current *fleet.Settings
	// SetSeeds is called with settings whose seeds differ from the last ones.
	SetSeeds func(*fleet.Settings)
	// Log receives one line for each changed content.
	Log zerolog.Logger

	// content is the last content that was read, and failure the last error.
	content []byte
	failure string
	// seeds are the last ones of valid settings.
	seeds []netip.AddrPort
}

// Run follows the file until ctx ends. A signal makes it read at once.
func (w *Watcher) Run(ctx context.Context, signals <-chan os.Signal) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		w.poll()
		select {
		case <-ctx.Done():
			return
		case <-signals:
			w.Log.Info().Str("event", "reload").Send()
		case <-ticker.C:
		}
	}
}

// poll reads the file and applies its seeds if they have changed. They stay as they are if
// the content is invalid, as while the file is being written.
func (w *Watcher) poll() {
	content, err := w.Read()
	if err == nil && bytes.Equal(content, w.content) {
		return
	}
	var s *fleet.Settings
	if err == nil {
		w.content = content
		s, err = w.parse(content)
	}
	if err != nil {
		w.logFailure(err)
		return
	}
	w.failure = ""
	if w.seeds == nil {
		w.seeds = w.Current.Seeds
	}
	newSeeds, needsRestart := !slices.Equal(s.Seeds, w.seeds), !equalButSeeds(s, w.Current)
	if newSeeds || needsRestart {
		w.Log.Info().Str("event", "settings_changed").Any("seeds", s.Seeds).Bool("needs_restart", needsRestart).Send()
	}
	if newSeeds {
		w.seeds = s.Seeds
		w.SetSeeds(s)
	}
}

// logFailure logs an error unless it is the same as the last one.
func (w *Watcher) logFailure(err error) {
	if w.failure != err.Error() {
		w.failure = err.Error()
		w.Log.Warn().Str("event", "settings_unreadable").Err(err).Send()
	}
}

// parse decodes the content. Settings without seeds or of another host are errors.
func (w *Watcher) parse(content []byte) (*fleet.Settings, error) {
	s, err := w.Parse(content)
	switch {
	case err != nil:
		return nil, err
	case len(s.Seeds) == 0:
		return nil, errors.New("the settings name no seeds")
	case s.Host != w.Current.Host:
		return nil, errors.Newf("the settings are those of host %q", s.Host.Name)
	}
	return s, nil
}

// equalButSeeds reports whether two settings differ only in their seeds and in whether
// they are those of the first start.
func equalButSeeds(a, b *fleet.Settings) bool {
	x, y := *a, *b
	x.Seeds, y.Seeds, x.FirstStart, y.FirstStart = nil, nil, false, false
	return reflect.DeepEqual(x, y)
}

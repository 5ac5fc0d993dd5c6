package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/backend"
	"tanagerbarrow/membership"
)

// retryPause is the time between announcements that failed.
const retryPause = 100 * time.Millisecond

// announceForever announces the stand-in to the entry that holds its lease, and
// to one entry after another while it finds none.
func (s *Server) announceForever(ctx context.Context) {
	entry := ""
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		if entry == "" {
			entry = s.options.Entries[int(sequence)%len(s.options.Entries)]
		}
		granted, err := s.announce(ctx, entry, sequence)
		wait := time.Duration(granted.LeaseMillis) * time.Millisecond / 3
		entry = granted.AnnounceTo
		if err != nil {
			wait, entry = retryPause, ""
		}
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-time.After(wait):
		}
	}
}

// announce announces the stand-in once and returns the answer.
func (s *Server) announce(ctx context.Context, entry string, sequence uint64) (backend.AnnounceResponse, error) {
	s.mu.Lock()
	record := membership.BackendServer{
		Service: s.options.Service, Address: s.Address(), AvailabilityZone: s.options.AvailabilityZone,
		Slots: s.options.Slots, Generation: s.options.Generation, State: s.state, Sequence: sequence,
	}
	s.mu.Unlock()
	body, err := json.Marshal(record)
	if err != nil {
		return backend.AnnounceResponse{}, errors.Wrap(err, "encode announcement")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s%s", entry, backend.AnnouncePath)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return backend.AnnounceResponse{}, errors.Wrapf(err, "announce to %s", entry)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(backend.AnnounceKeyHeader, s.options.AnnounceKey)
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return backend.AnnounceResponse{}, errors.Wrapf(err, "announce to %s", entry)
	}
	defer func() { _ = res.Body.Close() }()
	var granted backend.AnnounceResponse
	if res.StatusCode != http.StatusOK {
		return backend.AnnounceResponse{}, errors.Newf("announce to %s: status %d", entry, res.StatusCode)
	}
	err = json.NewDecoder(res.Body).Decode(&granted)
	return granted, errors.Wrapf(err, "decode lease of %s", entry)
}

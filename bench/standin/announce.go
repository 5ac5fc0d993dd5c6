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

// retryDelay is the delay before the next announcement after a failed one.
const retryDelay = 100 * time.Millisecond

// announceLoop announces the stand-in until ctx ends: to the entry that holds
// its lease, or to each configured entry in turn while none holds it.
func (s *Server) announceLoop(ctx context.Context) {
	entry := ""
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		if entry == "" {
			entry = s.options.Entries[int(sequence)%len(s.options.Entries)]
		}
		response, err := s.announce(ctx, entry, sequence)
		wait := time.Duration(response.LeaseMillis) * time.Millisecond / 3
		entry = response.AnnounceTo
		if err != nil {
			wait, entry = retryDelay, ""
		}
		select {
		case <-ctx.Done():
		case <-s.announceNow:
		case <-time.After(wait):
		}
	}
}

// announce announces the stand-in to one entry and returns the response.
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
	var response backend.AnnounceResponse
	if res.StatusCode != http.StatusOK {
		return backend.AnnounceResponse{}, errors.Newf("announce to %s: status %d", entry, res.StatusCode)
	}
	err = json.NewDecoder(res.Body).Decode(&response)
	return response, errors.Wrapf(err, "decode lease of %s", entry)
}

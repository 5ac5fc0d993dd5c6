package gateway

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"tanagerbarrow/protocol"
	"tanagerbarrow/verdict"
)

// An entry that did not run, or was cut off, while all control hosts were replaced knows none
// that still runs. It asks entries that it knows as relays; those that have a broker name
// the control hosts.

// headerControlHosts asks another entry for the control hosts instead of a relayed request.
const headerControlHosts = "Tanagerbarrow-Control-Hosts"

// Timing and limits of questions to other entries.
const (
	// askEntriesDelay is how long no control host may be reached before other entries are
	// asked: longer than a restart of all control hosts after a loss of power.
	askEntriesDelay = 3 * time.Second
	// askEntriesInterval is the time between two questions.
	askEntriesInterval = time.Second
	// askEntryTimeout bounds one question.
	askEntryTimeout = 500 * time.Millisecond
	// maxControlHostsBytes bounds the response, in bytes.
	maxControlHostsBytes = 64 << 10
)

// namedControlHost is a control host in the response to another entry.
type namedControlHost struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// serveControlHosts responds to another entry with the control hosts that the broker has named.
// Without a broker it refuses, so that entries don't name each other hosts that are gone.
func (g *Gateway) serveControlHosts(c echo.Context) error {
	if g.session.activeConn() == nil {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	hosts := []namedControlHost{}
	for address, name := range g.session.controlHosts.names() {
		hosts = append(hosts, namedControlHost{Name: name, Address: address})
	}
	return c.JSON(http.StatusOK, hosts)
}

// askEntries asks other entries for control hosts while the search reaches none, until it ends.
func (b *brokerSearch) askEntries() {
	client := &http.Client{Timeout: askEntryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	wait := time.NewTimer(askEntriesDelay)
	defer wait.Stop()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-wait.C:
		}
		wait.Reset(askEntriesInterval)
		relays := b.session.view.knownRelays()
		if len(b.connectedHosts()) > 0 || len(relays) == 0 {
			continue
		}
		address := relays[rand.IntN(len(relays))].Address
		d, err := askEntry(b.ctx, client, address)
		b.session.log.Info().Str("event", "entry_asked").Str("address", address).Int("hosts", len(d.Hosts)).AnErr("failed", err).Send()
		b.addHosts(d)
	}
}

// askEntry asks one entry for the control hosts.
func askEntry(ctx context.Context, client *http.Client, address string) (protocol.Directory, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return protocol.Directory{}, err
	}
	r.Header.Set(headerControlHosts, "?")
	res, err := client.Do(r)
	if err != nil {
		return protocol.Directory{}, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return protocol.Directory{}, verdict.New(verdict.NotRun, res.StatusCode, codeRelayFailed, "entry %s responds with status %d", address, res.StatusCode)
	}
	var hosts []namedControlHost
	if err := json.NewDecoder(io.LimitReader(res.Body, maxControlHostsBytes)).Decode(&hosts); err != nil {
		return protocol.Directory{}, errors.Wrapf(err, "entry %s", address)
	}
	d := protocol.Directory{}
	for _, h := range hosts {
		d.Hosts = append(d.Hosts, protocol.ControlHost{Name: h.Name, PeerAddress: h.Address})
	}
	return d, nil
}

// knownRelays returns the entries that the last broker has named as relays.
func (v *view) knownRelays() []protocol.Relay {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.relays
}

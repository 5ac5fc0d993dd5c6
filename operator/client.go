package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"tanagerbarrow/state"
)

// clientTimeout limits one call to one server of the administration API.
const clientTimeout = 10 * time.Second

// maxResponseBytes limits a response of the administration API, in bytes.
const maxResponseBytes = 64 << 20

// ErrUnauthorized marks a call that was refused because of its key.
var ErrUnauthorized = errors.New("the server refused the operator key")

// Client calls the administration API. It tries its servers in turn until one
// responds. Sending a command again is safe because every command carries an
// ID.
type Client struct {
	servers []string
	key     string
	http    http.Client
}

// NewClient returns a client of the API servers at the given URLs.
func NewClient(server, key string, more ...string) *Client {
	return &Client{
		servers: append([]string{server}, more...), key: key,
		http: http.Client{Timeout: clientTimeout},
	}
}

// UseTLS sets the TLS configuration, which holds the certificate authorities
// that the client trusts.
func (c *Client) UseTLS(config *tls.Config) {
	c.http.Transport = &http.Transport{TLSClientConfig: config}
}

// Plan requests a plan for an intent.
func (c *Client) Plan(i state.Intent) (state.Plan, error) {
	return c.PlanWithID(uuid.NewString(), i)
}

// PlanWithID requests a plan for an intent under the given plan ID. If the ID
// was used before, it returns the first plan.
func (c *Client) PlanWithID(id string, i state.Intent) (state.Plan, error) {
	var p state.Plan
	return p, c.call(http.MethodPost, "/v1/plans", PlanRequest{ID: id, Intent: i}, &p)
}

// Confirm confirms a plan. A refused confirmation is returned as an answer, not
// as an error.
func (c *Client) Confirm(id string, confirmation Confirmation) (state.Answer, error) {
	var a state.Answer
	err := c.call(http.MethodPost, "/v1/plans/"+url.PathEscape(id)+"/confirm", confirmation, &a)
	return a, err
}

// Status returns the status of the system.
func (c *Client) Status() (Status, error) {
	var s Status
	return s, c.call(http.MethodGet, "/v1/status", nil, &s)
}

// Configuration returns the newest accepted configuration.
func (c *Client) Configuration() (*state.Configuration, error) {
	var config state.Configuration
	return &config, c.call(http.MethodGet, "/v1/configuration", nil, &config)
}

// History returns the newest records of the audit log.
func (c *Client) History(limit int) (History, error) {
	var h History
	return h, c.call(http.MethodGet, "/v1/history?limit="+strconv.Itoa(limit), nil, &h)
}

// call calls the servers in turn until one responds. That server is tried first
// from then on.
func (c *Client) call(method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrapf(err, "encode %s", path)
	}
	var failures error
	for i, server := range c.servers {
		final, err := c.callServer(server, method, path, body, out)
		if err == nil {
			c.servers[0], c.servers[i] = c.servers[i], c.servers[0]
			return nil
		}
		failures = errors.Join(failures, err)
		if final {
			break
		}
	}
	return failures
}

// callServer calls one server. final reports whether another server would give
// the same response. A response with status 409 and an answer is decoded like a
// success.
func (c *Client) callServer(server, method, path string, body []byte, out any) (final bool, err error) {
	r, err := http.NewRequestWithContext(context.Background(), method, server+path, bytes.NewReader(body))
	if err != nil {
		return true, errors.Wrapf(err, "build request to %s%s", server, path)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+c.key)
	res, err := c.http.Do(r)
	if err != nil {
		return false, errors.Wrapf(err, "call %s %s", method, path)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return false, errors.Wrapf(err, "read response of %s %s%s", method, server, path)
	}
	if res.StatusCode == http.StatusUnauthorized {
		return true, errors.Wrapf(ErrUnauthorized, "%s %s%s", method, server, path)
	}
	var failure ErrorResponse
	if res.StatusCode >= http.StatusBadRequest && json.Unmarshal(data, &failure) == nil && failure.Message != "" {
		err := errors.Newf("%s %s%s: status %d: %s", method, server, path, res.StatusCode, failure.Message)
		return res.StatusCode < http.StatusInternalServerError, err
	}
	err = json.Unmarshal(data, out)
	return err == nil, errors.Wrapf(err, "decode response of %s %s%s with status %d", method, server, path, res.StatusCode)
}

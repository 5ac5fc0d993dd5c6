package operator

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/state"
)

// clientTimeout bounds one call of the administration API.
const clientTimeout = 10 * time.Second

// maxResponseBytes bounds a response of the administration API, in bytes.
const maxResponseBytes = 64 << 20

// Client calls the administration API.
type Client struct {
	server, key string
	http        http.Client
}

// NewClient returns a client of the API at the URL.
func NewClient(server, key string) *Client {
	return &Client{server: server, key: key, http: http.Client{Timeout: clientTimeout}}
}

// Plan states an intent.
func (c *Client) Plan(i state.Intent) (state.Plan, error) {
	var p state.Plan
	return p, c.call(http.MethodPost, "/v1/plans", i, &p)
}

// Confirm confirms a plan. A refusal is an answer, not an error.
func (c *Client) Confirm(id string, confirmation Confirmation) (state.Answer, error) {
	var a state.Answer
	err := c.call(http.MethodPost, "/v1/plans/"+id+"/confirm", confirmation, &a)
	return a, err
}

// Status describes the system.
func (c *Client) Status() (Status, error) {
	var s Status
	return s, c.call(http.MethodGet, "/v1/status", nil, &s)
}

// Configuration returns the newest accepted configuration.
func (c *Client) Configuration() (*state.Configuration, error) {
	var config state.Configuration
	return &config, c.call(http.MethodGet, "/v1/configuration", nil, &config)
}

// call carries out one call. A 409 with an answer is decoded like a success.
func (c *Client) call(method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrapf(err, "encode %s", path)
	}
	r, err := http.NewRequest(method, c.server+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "build request to %s", path)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+c.key)
	res, err := c.http.Do(r)
	if err != nil {
		return errors.Wrapf(err, "call %s %s", method, path)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrapf(err, "read response of %s %s", method, path)
	}
	var failure Failure
	if res.StatusCode >= http.StatusBadRequest && json.Unmarshal(data, &failure) == nil && failure.Message != "" {
		return errors.Newf("%s %s: status %d: %s", method, path, res.StatusCode, failure.Message)
	}
	return errors.Wrapf(json.Unmarshal(data, out), "decode response of %s %s with status %d", method, path, res.StatusCode)
}

package dispatch

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/ledger"
	"tanagerbarrow/request"
	"tanagerbarrow/verdict"
)

// The bounds of what is held of an order, in bytes.
const (
	maxOrderBytes  = 1 << 20
	maxAnswerBytes = 256 << 10
)

// order claims the order's key, sends the order, and stores its outcome.
func (d *Dispatcher) order(ctx context.Context, r *request.Request, h *http.Request) (*http.Response, error) {
	held, err := holdBody(h)
	if err != nil {
		return nil, err
	}
	claim := ledger.Command{
		Op: ledger.OpClaim, Key: claimKey(r), Token: newToken(), Digest: digest(h, held),
	}
	result, err := d.Claims.Apply(ctx, claim)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, "ledger_unavailable",
			"claim an order of service %q", r.Service.Name)
	}
	if result.Outcome != ledger.Granted {
		return earlier(r, result)
	}
	h.ContentLength = int64(len(held))
	res, err := d.attempts(ctx, r, h, heldBody(held))
	if err != nil {
		d.releaseIfNotRun(ctx, claim, err)
		return nil, err
	}
	return d.settle(ctx, claim, res)
}

// holdBody reads the whole body of an order.
func holdBody(h *http.Request) ([]byte, error) {
	if h.Body == nil {
		return nil, nil
	}
	held, err := io.ReadAll(io.LimitReader(h.Body, maxOrderBytes+1))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest, "body_cut", "read the order's body")
	}
	if len(held) > maxOrderBytes {
		return nil, verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "order_too_large",
			"an order has more than %d bytes", maxOrderBytes)
	}
	return held, nil
}

// claimKey returns the ledger's key of an order.
func claimKey(r *request.Request) string {
	return r.Service.Name + "\x00" + r.Account + "\x00" + r.Key
}

// digest returns a hash over what makes two orders the same.
func digest(h *http.Request, held []byte) string {
	sum := sha256.New()
	for _, part := range []string{h.Method, h.URL.Path, h.URL.RawQuery} {
		sum.Write([]byte(part))
		sum.Write([]byte{0})
	}
	sum.Write(held)
	return hex.EncodeToString(sum.Sum(nil))
}

// earlier answers an order whose key was claimed before.
func earlier(r *request.Request, result ledger.Result) (*http.Response, error) {
	switch result.Outcome {
	case ledger.Settled:
		return storedResponse(result.Answer), nil
	case ledger.Conflict:
		return nil, verdict.New(verdict.NotRun, http.StatusUnprocessableEntity, "key_reused",
			"%s was used before with another request to service %q", request.KeyHeader, r.Service.Name)
	default:
		return nil, verdict.New(verdict.MayHaveRun, http.StatusConflict, "outcome_unknown",
			"an order to service %q with this %s has no known outcome", r.Service.Name, request.KeyHeader)
	}
}

// storedResponse returns a stored answer as a response.
func storedResponse(a *ledger.Answer) *http.Response {
	res := &http.Response{
		StatusCode: a.Status, Header: http.Header{},
		Body: io.NopCloser(bytes.NewReader(a.Body)), ContentLength: int64(len(a.Body)),
	}
	if a.ContentType != "" {
		res.Header.Set("Content-Type", a.ContentType)
	}
	return res
}

// releaseIfNotRun gives the key back after a failure that proves that the
// order did not run.
func (d *Dispatcher) releaseIfNotRun(ctx context.Context, claim ledger.Command, err error) {
	if verdict.Of(err) != verdict.NotRun {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	_, _ = d.Claims.Apply(ctx, ledger.Command{Op: ledger.OpRelease, Key: claim.Key, Token: claim.Token})
}

// settle stores the answer before the caller gets it. An answer that cannot be
// stored still goes to the caller; the key then stays claimed.
func (d *Dispatcher) settle(ctx context.Context, claim ledger.Command, res *http.Response) (*http.Response, error) {
	whole, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		_ = res.Body.Close()
		return nil, verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "answer_cut", "read the order's answer")
	}
	if len(whole) > maxAnswerBytes {
		res.Body = joined{Reader: io.MultiReader(bytes.NewReader(whole), res.Body), Closer: res.Body}
		return res, nil
	}
	err = res.Body.Close()
	answer := &ledger.Answer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: whole}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	settle := ledger.Command{Op: ledger.OpSettle, Key: claim.Key, Token: claim.Token, Answer: answer}
	_, settleErr := d.Claims.Apply(ctx, settle)
	_ = errors.CombineErrors(err, settleErr)
	res.Body = io.NopCloser(bytes.NewReader(whole))
	return res, nil
}

// joined reads from one place and closes another.
type joined struct {
	io.Reader
	io.Closer
}

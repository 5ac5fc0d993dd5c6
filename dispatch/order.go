package dispatch

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"tanagerbarrow/backend"
	"tanagerbarrow/ledger"
	"tanagerbarrow/request"
	"tanagerbarrow/verdict"
)

// maxOrderBytes is the maximum size of the body of an order, which is buffered,
// in bytes.
const maxOrderBytes = 1 << 20

// settleTimeout limits the writing of an order's outcome to the ledger, which
// continues after the caller has disconnected.
const settleTimeout = 2 * time.Second

// The codes of errors of orders.
const (
	// CodeLedgerUnavailable means that no quorum responded in time.
	CodeLedgerUnavailable = "ledger_unavailable"
	// CodeLedgerFull means that the ledger has no room for another claim.
	CodeLedgerFull = "ledger_full"
	// CodeOrderTooLarge means that the order's body exceeds its maximum size.
	CodeOrderTooLarge = "order_too_large"
	// CodeKeyReused means that the key was used for another order.
	CodeKeyReused = "key_reused"
	// CodeOutcomeUnknown means that an earlier arrival of the order is in
	// progress or has no known outcome.
	CodeOutcomeUnknown = "outcome_unknown"
	// CodeAnswerNotStored means that the order ran but its response was too large
	// to store.
	CodeAnswerNotStored = "answer_not_stored"
)

// order claims the order's key, sends the order and stores its outcome, within
// [ledger.MaxOrderDuration].
func (d *Dispatcher) order(ctx context.Context, r *request.Request, h *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, ledger.MaxOrderDuration)
	res, err := d.claimAndSend(ctx, r, h)
	if err != nil {
		cancel()
		return nil, err
	}
	res.Body = &cancelingBody{ReadCloser: res.Body, cancel: cancel}
	return res, nil
}

// claimAndSend claims the order's key and, if the claim is granted, sends the
// order and settles or releases the claim.
func (d *Dispatcher) claimAndSend(ctx context.Context, r *request.Request, h *http.Request) (*http.Response, error) {
	body, err := bufferBody(r, h)
	if err != nil {
		return nil, err
	}
	claim := ledger.Command{Op: ledger.OpClaim, Key: claimKey(r), Token: newToken(), Digest: orderDigest(h, body)}
	result, err := d.Ledger.Apply(ctx, r.HomeRegions, claim)
	if err != nil {
		d.background(func() { d.release(ctx, r, claim) })
		return nil, verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, CodeLedgerUnavailable,
			"claim an order of service %q", r.Service.Name)
	}
	if result.Outcome != ledger.Granted {
		return responseWithoutClaim(r, result)
	}
	h.ContentLength = int64(len(body))
	res, err := d.attempts(ctx, r, h, bufferedBody(body))
	if err == nil {
		return d.settle(ctx, r, claim, res)
	}
	if verdict.Of(err) == verdict.NotRun {
		d.finish(ctx, func() { d.release(ctx, r, claim) })
	}
	return nil, err
}

// bufferBody reads the whole body of an order.
func bufferBody(r *request.Request, h *http.Request) ([]byte, error) {
	if h.Body == nil || h.Body == http.NoBody {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(h.Body, maxOrderBytes+1))
	if err != nil {
		return nil, backend.BodyReadError(err, verdict.NotRun, r.Service.Name)
	}
	if len(body) > maxOrderBytes {
		return nil, verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, CodeOrderTooLarge,
			"an order has more than %d bytes", maxOrderBytes)
	}
	return body, nil
}

// claimKey returns the ledger's key of an order. It is a hash, so that the
// ledger's files contain neither the key nor the client account.
func claimKey(r *request.Request) string {
	sum := sha256.Sum256([]byte(r.Service.Name + "\x00" + r.ClientAccount + "\x00" + r.Key))
	return hex.EncodeToString(sum[:])
}

// orderDigest returns a hash over the method, the target and the body of an
// order. Two orders with the same key must have the same hash.
func orderDigest(h *http.Request, body []byte) string {
	sum := sha256.New()
	for _, part := range []string{h.Method, h.URL.EscapedPath(), h.URL.RawQuery} {
		sum.Write([]byte(part))
		sum.Write([]byte{0})
	}
	sum.Write(body)
	return hex.EncodeToString(sum.Sum(nil))
}

// responseWithoutClaim returns the response to an order whose claim was not
// granted to this arrival.
func responseWithoutClaim(r *request.Request, result ledger.Result) (*http.Response, error) {
	switch result.Outcome {
	case ledger.Settled:
		return storedResponse(r, result.Response)
	case ledger.Conflict:
		return nil, verdict.New(verdict.NotRun, http.StatusUnprocessableEntity, CodeKeyReused,
			"%s was used before with another request to service %q", request.KeyHeader, r.Service.Name)
	case ledger.Full:
		return nil, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, CodeLedgerFull,
			"the ledger has no room for another order of service %q", r.Service.Name)
	case ledger.Released:
		return nil, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, CodeLedgerUnavailable,
			"the claim of an order of service %q came too late", r.Service.Name)
	default:
		return nil, verdict.New(verdict.MayHaveRun, http.StatusConflict, CodeOutcomeUnknown,
			"an order to service %q with this %s has no known outcome", r.Service.Name, request.KeyHeader)
	}
}

// storedResponse returns the response that the ledger stored.
func storedResponse(r *request.Request, a *ledger.Response) (*http.Response, error) {
	if a == nil || a.Omitted {
		return nil, verdict.New(verdict.Ran, http.StatusConflict, CodeAnswerNotStored,
			"the order to service %q with this %s ran, but its answer was not stored", r.Service.Name, request.KeyHeader)
	}
	return &http.Response{
		StatusCode: a.Status, Header: http.Header(a.Header).Clone(),
		Body: io.NopCloser(bytes.NewReader(a.Body)), ContentLength: int64(len(a.Body)),
	}, nil
}

// release releases the claim, because this arrival will never send the order.
func (d *Dispatcher) release(ctx context.Context, r *request.Request, claim ledger.Command) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	_, _ = d.Ledger.Apply(ctx, r.HomeRegions, ledger.Command{Op: ledger.OpRelease, Key: claim.Key, Token: claim.Token})
}

// settle stores the response before it is returned to the caller, unless the
// caller's deadline comes first. If storing fails, the key stays claimed.
func (d *Dispatcher) settle(
	ctx context.Context, r *request.Request, claim ledger.Command, res *http.Response,
) (*http.Response, error) {
	body, err := io.ReadAll(io.LimitReader(res.Body, ledger.MaxResponseBytes+1))
	if err != nil {
		_ = res.Body.Close()
		return nil, verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, backend.CodeAnswerCut,
			"read the order's answer of service %q", r.Service.Name)
	}
	answer := &ledger.Response{Status: res.StatusCode, Omitted: true}
	if len(body) <= ledger.MaxResponseBytes {
		answer = &ledger.Response{Status: res.StatusCode, Header: res.Header.Clone(), Body: body}
	}
	d.finish(ctx, func() { d.store(ctx, r, claim, answer) })
	res.Body = separateReadCloser{Reader: io.MultiReader(bytes.NewReader(body), res.Body), Closer: res.Body}
	return res, nil
}

// store settles the claim with the response.
func (d *Dispatcher) store(ctx context.Context, r *request.Request, claim ledger.Command, answer *ledger.Response) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	settle := ledger.Command{Op: ledger.OpSettle, Key: claim.Key, Token: claim.Token, Response: answer}
	_, _ = d.Ledger.Apply(ctx, r.HomeRegions, settle)
}

// background runs f in a goroutine that [Dispatcher.Drain] waits for.
func (d *Dispatcher) background(f func()) { d.outcomes.Go(f) }

// finish runs f in the background and waits for it until ctx ends.
func (d *Dispatcher) finish(ctx context.Context, f func()) {
	done := make(chan struct{})
	d.background(func() {
		defer close(done)
		f()
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Drain waits until the outcomes of all orders were written or writing them
// failed.
func (d *Dispatcher) Drain() { d.outcomes.Wait() }

// separateReadCloser combines a reader with an unrelated closer.
type separateReadCloser struct {
	io.Reader
	io.Closer
}

// cancelingBody cancels a context when the response is closed.
type cancelingBody struct {
	io.ReadCloser

	cancel context.CancelFunc
}

// Close cancels the context and closes the response.
func (b *cancelingBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

package caller

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tanagerbarrow/dispatch"
	"tanagerbarrow/verdict"
)

// answerFor returns the answer that belongs to a token; it is up to 200 KiB long.
func answerFor(token string) string {
	random := rand.New(rand.NewPCG(uint64(len(token)), uint64(token[len(token)-1])))
	return strings.Repeat(token+"|", 1+random.IntN(1+len(token)*2000))
}

// tokenServer starts a server that answers each request with the answer of its
// token. The query selects how: with or without a Content-Length, slowly, or
// truncated.
func tokenServer(t *testing.T) netip.AddrPort {
	t.Helper()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token := r.Header.Get(tokenHeader)
		whole := answerFor(token)
		w.Header().Set(tokenHeader, token)
		switch r.URL.Query().Get("way") {
		case "length":
			w.Header().Set("Content-Length", fmt.Sprint(len(whole)))
			_, _ = io.WriteString(w, whole)
		case "slow":
			_, _ = io.WriteString(w, whole[:len(whole)/2])
			_ = http.NewResponseController(w).Flush()
			time.Sleep(2 * time.Millisecond)
			_, _ = io.WriteString(w, whole[len(whole)/2:])
		case "cut":
			_, _ = io.WriteString(w, whole[:len(whole)/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		case "cut length":
			w.Header().Set("Content-Length", fmt.Sprint(len(whole)))
			_, _ = io.WriteString(w, whole[:len(whole)/2])
			panic(http.ErrAbortHandler)
		default:
			_, _ = io.WriteString(w, whole)
		}
	}))
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	s.Start()
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// TestEachCallerGetsItsOwnWholeAnswer sends requests of a thousand callers in
// parallel. Some callers cancel, and some answers are truncated or slow.
func TestEachCallerGetsItsOwnWholeAnswer(t *testing.T) {
	const callers, requests = 1000, 2
	e := startEntry(tokenServer(t), tokenServer(t), tokenServer(t))
	t.Cleanup(e.stop)
	d := e.outcomes.Dispatcher.(*dispatch.Dispatcher)
	limited := d.Balancer.(*dispatch.Balancer)
	d.Balancer = &dispatch.RoundRobin{ // sheds nothing
		Members: limited.Members, Configuration: limited.Configuration, Regions: limited.Place.Regions,
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	t.Cleanup(client.CloseIdleConnections)
	ways := []string{"", "length", "slow", "", "length", "slow", "", "length", "cut", "cut length"}
	var whole, failed atomic.Int64
	var all sync.WaitGroup
	for n := range callers {
		random := rand.New(rand.NewPCG(1, uint64(n)))
		all.Go(func() {
			for i := range requests {
				way := ways[random.IntN(len(ways))]
				token := fmt.Sprintf("caller-%d-%d", n, i)
				ctx, cancel := context.WithCancel(context.Background())
				if random.IntN(4) == 0 {
					time.AfterFunc(time.Duration(random.IntN(20))*time.Millisecond, cancel)
				}
				complete, err := sendRequest(ctx, client, e.URL+"/s/x?way="+strings.ReplaceAll(way, " ", "+"), token)
				cancel()
				switch {
				case err != nil:
					t.Error(err)
				case complete && strings.HasPrefix(way, "cut"):
					t.Errorf("%s: a truncated answer looks complete", token)
				case complete:
					whole.Add(1)
				default:
					failed.Add(1)
				}
			}
		})
	}
	all.Wait()
	t.Logf("%d complete answers, %d truncated, rejected or cancelled", whole.Load(), failed.Load())
	if whole.Load() == 0 || failed.Load() == 0 {
		t.Fatal("the test needs both complete and failed answers")
	}
}

// sendRequest sends one request and reports whether the answer looks complete. It
// returns an error if the answer looks complete but is not the one of the token.
func sendRequest(ctx context.Context, client *http.Client, url, token string) (complete bool, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	r.Header.Set(tokenHeader, token)
	res, err := client.Do(r)
	if err != nil {
		return false, nil //nolint:nilerr // a failed request makes no claim
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		return false, nil //nolint:nilerr // a cut answer is seen as cut
	}
	if got := res.Header.Get(tokenHeader); got != token {
		return true, fmt.Errorf("%s got the answer of %q", token, got)
	}
	if string(body) != answerFor(token) {
		return true, fmt.Errorf("%s got %d bytes that look complete, want %d", token, len(body), len(answerFor(token)))
	}
	return true, nil
}

func TestShapesOfAnswers(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/s/none":
			w.WriteHeader(http.StatusNoContent)
		case "/s/same":
			w.Header().Set("Etag", `"x"`)
			w.WriteHeader(http.StatusNotModified)
		case "/s/hints":
			w.Header().Set("Link", "</x>")
			w.WriteHeader(http.StatusEarlyHints)
			_, _ = io.WriteString(w, "whole")
		case "/s/trailer":
			w.Header().Set("Trailer", "Sum")
			_, _ = io.WriteString(w, "whole")
			w.Header().Set("Sum", "5")
		case "/s/a/b c", "/s/a":
			_, _ = io.WriteString(w, r.RequestURI)
		default:
			w.Header().Set("Content-Length", "5")
			w.Header().Set("Connection", "X-Hop")
			w.Header().Set("X-Hop", "1")
			w.Header().Set(verdict.Header, "forged")
			_, _ = io.WriteString(w, "whole")
		}
	}))
	t.Cleanup(s.Close)
	e := startEntry(netip.MustParseAddrPort(s.Listener.Addr().String()))
	t.Cleanup(e.stop)
	for _, c := range []struct {
		method, path string
		status       int
		body, length string
	}{
		{http.MethodHead, "/s/plain", 200, "", "5"},
		{http.MethodGet, "/s/plain", 200, "whole", "5"},
		{http.MethodGet, "/s/none", 204, "", ""},
		{http.MethodGet, "/s/same", 304, "", ""},
		{http.MethodGet, "/s/hints", 200, "whole", "5"},
		{http.MethodGet, "/s/trailer", 200, "whole", ""},
		{http.MethodGet, "/s/a%2Fb%20c?q=%2F", 200, "/s/a%2Fb%20c?q=%2F", "18"},
	} {
		r, err := http.NewRequest(c.method, e.URL+c.path, nil)
		if err != nil {
			t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatalf("%s %s: %v", c.method, c.path, err)
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil || res.StatusCode != c.status || string(body) != c.body || res.Header.Get("Content-Length") != c.length {
			t.Errorf("%s %s: %d %q length %q, %v", c.method, c.path, res.StatusCode, body, res.Header.Get("Content-Length"), err)
		}
		if res.Header.Get(verdict.Header) != verdict.Ran.String() || res.Header.Get("X-Hop") != "" {
			t.Errorf("%s %s: header %v", c.method, c.path, res.Header)
		}
		if c.path == "/s/trailer" && res.Trailer.Get("Sum") != "5" {
			t.Errorf("trailer %v, want Sum 5", res.Trailer)
		}
	}
}

package caller

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"tanagerbarrow/request"
	"tanagerbarrow/state"
	"tanagerbarrow/telemetry"
	"tanagerbarrow/verdict"
)

// marker is the text that the test places in every part of a request.
const marker = "marker-7f3a"

// unexpectedDispatcher fails the test if a request is dispatched.
type unexpectedDispatcher struct{ t *testing.T }

func (f unexpectedDispatcher) Dispatch(context.Context, *request.Request, *http.Request) (*http.Response, error) {
	f.t.Error("a misdirected request was dispatched")
	return nil, verdict.New(verdict.MayHaveRun, http.StatusTeapot, "dispatched", "dispatched")
}

// TestNothingOfAMisdirectedRequestStaysOutside places a marker in the path, the
// query, the headers, the key and the body of well-formed and malformed requests,
// and checks that an entry outside of the home regions writes it neither to its
// log nor to its metrics.
func TestNothingOfAMisdirectedRequestStaysOutside(t *testing.T) {
	config := state.NewConfiguration()
	config.Services["s"] = state.Service{Name: "s"}
	config.AccountHomes[marker] = []string{"north"}
	config.RouteHomes["/s/"+marker] = []string{"north"}
	var logAndMetrics bytes.Buffer
	metrics := telemetry.NewMetrics()
	front := &Frontend{
		Configuration: func() *state.Configuration { return config }, Dispatcher: unexpectedDispatcher{t}, Region: "south",
		HomeEntries:    func([]string) []string { return []string{"192.0.2.1:80"} },
		RequestTimeout: time.Minute, MaxBodyBytes: 1 << 10, Log: zerolog.New(&logAndMetrics), Metrics: metrics,
	}
	routes := echo.New()
	front.Register(routes)
	s := httptest.NewServer(routes)
	defer s.Close()
	account := request.ClientAccountHeader + ": " + marker + "\r\n"
	for _, c := range []struct{ method, path, header string }{
		{"GET", "/s/x?q=" + marker, account},
		{"POST", "/s/" + marker + "/x", request.KeyHeader + ": " + marker + "\r\n"},
		{"POST", "/s//" + marker + "/x", ""},
		{"POST", "/s/x/../" + marker, account},
		{"GET", "/" + marker + "/x", account},
		{"POST", "/s/x", account + request.KeyHeader + ": " + strings.Repeat(marker, 100) + "\r\n"},
		{"POST", "/s/x", account + request.TimeoutHeader + ": " + marker + "\r\n"},
		{"POST", "/s/x", account + "Content-Digest: sha-256=" + marker + "\r\n"},
		{"POST", "/s/x", account + "X-Large: " + strings.Repeat(marker, 500) + "\r\n"},
	} {
		answer := sendRaw(t, s.Listener.Addr(), fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: 2000\r\n\r\n%s",
			c.method, c.path, c.header, strings.Repeat(marker, 200)[:2000]))
		if !strings.HasPrefix(answer, "HTTP/1.1 421 ") || !strings.Contains(answer, verdict.Header+": NotRun") {
			t.Errorf("%s %s: %s", c.method, c.path, answer)
		}
		if !strings.Contains(answer, "192.0.2.1:80") {
			t.Errorf("%s %s: no home entry in %s", c.method, c.path, answer)
		}
	}
	metrics.Write(&logAndMetrics)
	if strings.Contains(logAndMetrics.String(), marker) {
		t.Errorf("the log or the metrics of the outside entry contain the marker:\n%s", logAndMetrics.String())
	}
}

// sendRaw sends a text over a new connection and returns all that it receives.
func sendRaw(t *testing.T, to net.Addr, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", to.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	go func() {
		_, _ = io.WriteString(c, text)
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	answer, _ := io.ReadAll(bufio.NewReader(c))
	return string(answer)
}

// TestBadRequestsReachNoBackendServer sends requests that two parsers may
// interpret differently, which would allow request smuggling.
func TestBadRequestsReachNoBackendServer(t *testing.T) {
	server := startStandIn(t)
	server.setFault(answersLate) // requests are counted only under a fault
	e := startEntry(server.address)
	for name, text := range map[string]string{
		"length and chunks":    "POST /s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
		"two lengths":          "POST /s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
		"signed length":        "POST /s/x HTTP/1.1\r\nHost: h\r\nContent-Length: +4\r\n\r\nabcd",
		"unknown coding":       "POST /s/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"space before colon":   "GET /s/x HTTP/1.1\r\nHost: h\r\nContent-Length : 4\r\n\r\n",
		"control in a value":   "GET /s/x HTTP/1.1\r\nHost: h\r\nX: a\x01b\r\n\r\n",
		"no host":              "GET /s/x HTTP/1.1\r\n\r\n",
		"two hosts":            "GET /s/x HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
		"bad version":          "GET /s/x HTTP/9.1\r\nHost: h\r\n\r\n",
		"dot segments":         "GET /s/../t HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"encoded dot segments": "GET /s/%2e%2e/t HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"body too large":       "POST /s/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 9999999999\r\n\r\n",
	} {
		answer := sendRaw(t, e.Listener.Addr(), text)
		if len(answer) < 12 || answer[9] != '4' && answer[9:12] != "501" && answer[9:12] != "505" {
			t.Errorf("%s: %q, want an error", name, answer)
		}
	}
	server.release()
	e.stop()
	server.close()
	if server.arrived != 0 {
		t.Errorf("%d bad requests reached the backend server", server.arrived)
	}
}

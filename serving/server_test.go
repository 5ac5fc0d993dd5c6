package serving

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"tanagerbarrow/settings"
)

func TestAnswersCloseKeptAliveConnections(t *testing.T) {
	routes := NewEcho()
	routes.GET("/", func(c echo.Context) error {
		c.Response().Header().Del("Connection")
		return c.String(http.StatusOK, "x")
	})
	s, err := Listen(routes, netip.MustParseAddrPort("127.0.0.1:0"), settings.Limits{MaxConnections: 100})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.listener.Close() }()
	for _, disabled := range []bool{false, true, false} {
		s.DisableKeepAlives(disabled)
		w := httptest.NewRecorder()
		routes.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		if got := w.Header().Get("Connection") == "close"; got != disabled {
			t.Errorf("keep-alives disabled is %v, the header says close: %v", disabled, got)
		}
	}
}

func TestShutdownFinishesRequestsInProgress(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	routes := NewEcho()
	routes.GET("/", func(c echo.Context) error {
		close(arrived)
		<-release
		return c.String(http.StatusOK, "whole")
	})
	s, err := Listen(routes, netip.MustParseAddrPort("127.0.0.1:0"), settings.Limits{MaxConnections: 100})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve() }()
	answer := make(chan string, 1)
	go func() {
		res, err := http.Get("http://" + s.listener.Addr().String())
		if err != nil {
			answer <- err.Error()
			return
		}
		defer func() { _ = res.Body.Close() }()
		body, _ := io.ReadAll(res.Body)
		answer <- string(body)
	}()
	<-arrived
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(time.Minute) }()
	for refused := false; !refused; {
		c, err := net.Dial("tcp", s.listener.Addr().String())
		if refused = err != nil; !refused {
			_ = c.Close()
		}
	}
	close(release)
	if got := <-answer; got != "whole" {
		t.Errorf("the request in progress got %q", got)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"tanagerbarrow/membership"
)

const goodAnnouncement = `{"service":"s","address":"10.1.3.7:8080","availability_zone":"a","slots":2,` +
	`"generation":2,"state":"ready","sequence":1}`

func TestAnnouncementsAreCheckedWithReason(t *testing.T) {
	table := membership.NewTable(membership.Origin{Host: "e", Epoch: 1}, time.Minute)
	handler := &AnnounceHandler{
		Key: "key", Regions: map[string]string{"a": "north"},
		Announce: func(_ context.Context, b membership.BackendServer) (membership.Grant, error) {
			lease, err := table.Put(b, time.Now())
			return membership.Grant{Lease: lease, Owner: membership.Host{AdminAddress: "10.1.1.1:7200"}}, err
		},
	}
	routes := echo.New()
	handler.Register(routes)
	edit := func(old, with string) string { return strings.Replace(goodAnnouncement, old, with, 1) }
	for _, c := range []struct {
		name, body, key string
		status          int
		reason          string
	}{
		{"good", goodAnnouncement, "key", http.StatusOK, ""},
		{"wrong key", goodAnnouncement, "", http.StatusUnauthorized, "Announce-Key"},
		{"no JSON", "{", "key", http.StatusBadRequest, "decode announcement"},
		{"host name", edit("10.1.3.7:8080", "bells:8080"), "key", http.StatusBadRequest, "decode announcement"},
		{"no address", edit(`"address":"10.1.3.7:8080",`, ""), "key", http.StatusBadRequest, "no IP address"},
		{"any address", edit("10.1.3.7", "0.0.0.0"), "key", http.StatusBadRequest, "no IP address"},
		{"no port", edit(":8080", ":0"), "key", http.StatusBadRequest, "no IP address"},
		{"no service", edit(`"s"`, `""`), "key", http.StatusBadRequest, "no service"},
		{"unknown zone", edit(`"a"`, `"z"`), "key", http.StatusBadRequest, `unknown availability zone "z"`},
		{"no slots", edit(`"slots":2`, `"slots":0`), "key", http.StatusBadRequest, "0 slots"},
		{"no generation", edit(`"generation":2`, `"generation":0`), "key", http.StatusBadRequest, "no generation"},
		{"unknown state", edit("ready", "happy"), "key", http.StatusBadRequest, `unknown state "happy"`},
		{"generation goes back", edit(`"generation":2`, `"generation":1`), "key", http.StatusConflict, "generation 1 after 2"},
		{"too long", edit(`"s"`, `"`+strings.Repeat("s", maxAnnounceBytes)+`"`), "key", http.StatusBadRequest, "too large"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, AnnouncePath, strings.NewReader(c.body))
			r.Header.Set("Content-Type", "application/json")
			r.Header.Set(AnnounceKeyHeader, c.key)
			w := httptest.NewRecorder()
			routes.ServeHTTP(w, r)
			var refusal AnnounceRefusal
			_ = json.Unmarshal(w.Body.Bytes(), &refusal)
			if w.Code != c.status || !strings.Contains(refusal.Reason, c.reason) {
				t.Errorf("got %d %s, want %d with reason %q", w.Code, w.Body, c.status, c.reason)
			}
			if c.status == http.StatusOK && !strings.Contains(w.Body.String(), `"announce_to":"10.1.1.1:7200"`) {
				t.Errorf("the response %s does not name the owner", w.Body)
			}
		})
	}
}

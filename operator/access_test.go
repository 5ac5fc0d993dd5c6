package operator

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/state"
)

func TestOperatorsWithoutTheKeyAreRefused(t *testing.T) {
	for _, route := range newGroup().replicas[0].routes.Routes() {
		for reason, authorization := range map[string]string{
			"missing_key": "", "wrong_key": "Bearer wrong", "missing_key ": "Bearer ",
		} {
			reason = strings.TrimSpace(reason)
			g := newGroup()
			var log bytes.Buffer
			g.replicas[0].api.Log = g.replicas[0].api.Log.Output(&log).Level(0)
			out := g.request(t, route.Method, route.Path, authorization, strings.NewReader("{}"))
			if out.Code != http.StatusUnauthorized && out.Code != http.StatusNotFound {
				t.Errorf("%s %s with %q answered %d", route.Method, route.Path, authorization, out.Code)
			}
			if out.Code == http.StatusNotFound {
				continue
			}
			var metrics bytes.Buffer
			g.replicas[0].api.Metrics.Write(&metrics)
			want := `tanagerbarrow_access_refused_total{channel="operator",reason="` + reason + `"} 1`
			if !strings.Contains(metrics.String(), want) {
				t.Errorf("%s %s: metrics lack %s", route.Method, route.Path, want)
			}
			if len(g.log) != 0 {
				t.Errorf("%s %s changed the log", route.Method, route.Path)
			}
		}
	}
}

func TestClientStopsAtAWrongKey(t *testing.T) {
	transport := &replicaTransport{group: newGroup()}
	if _, err := transport.client("wrong").Status(); !errors.Is(err, ErrUnauthorized) {
		t.Fatalf("got %v", err)
	}
}

func TestLargeRequestIsRefused(t *testing.T) {
	out := newGroup().request(t, http.MethodPost, "/v1/plans", "Bearer "+testKey, strings.NewReader(`{"id":"`+strings.Repeat("x", 1<<20)+`"}`))
	if out.Code != http.StatusRequestEntityTooLarge {
		t.Fatalf("answered %d", out.Code)
	}
}

func TestRequestsWithBadNamesAreRefused(t *testing.T) {
	long := strings.Repeat("x", maxNameBytes+1)
	for body, path := range map[string]string{
		`{"id":"a/b"}`: "/v1/plans", `{"id":"` + long + `"}`: "/v1/plans", `{"id":1}`: "/v1/plans",
		`{}`: "/v1/plans/p/confirm", `{"operator":"` + long + `"}`: "/v1/plans/p/confirm", `{`: "/v1/plans/p/confirm",
	} {
		if out := newGroup().request(t, http.MethodPost, path, "Bearer "+testKey, strings.NewReader(body)); out.Code != http.StatusBadRequest {
			t.Errorf("%s with %.20s answered %d", path, body, out.Code)
		}
	}
}

func TestSamePlanConfirmedByTwoOperators(t *testing.T) {
	transport := &replicaTransport{group: newGroup()}
	c := transport.client(testKey)
	p, err := c.Plan(state.Intent{Kind: state.AdmitService, Subject: "a"})
	if err != nil {
		t.Fatal(err)
	}
	ana, err := c.Confirm(p.ID, Confirmation{Operator: "ana", Digest: p.Digest})
	if err != nil || !ana.Accepted {
		t.Fatalf("%+v, %v", ana, err)
	}
	bat, err := c.Confirm(p.ID, Confirmation{Operator: "bat", Digest: p.Digest})
	if err != nil || bat.Accepted || bat.ConflictingOperator != "ana" || bat.NewPlan == nil || bat.NewPlan.Refusal == "" {
		t.Fatalf("%+v, %v", bat, err)
	}
}

func FuzzRequests(f *testing.F) {
	for _, seed := range []any{
		PlanRequest{ID: "p", Intent: state.Intent{Kind: state.PinAccount, Subject: "a", Regions: []string{"north"}}},
		Confirmation{ID: "c", Operator: "ana", Digest: "d"},
	} {
		data, err := json.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"intent":{"kind":"set-account-limits","subject":"a","account_limits":{}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		g := newGroup()
		for _, path := range []string{"/v1/plans", "/v1/plans/p/confirm"} {
			if out := g.request(t, http.MethodPost, path, "Bearer "+testKey, bytes.NewReader(data)); out.Code == http.StatusInternalServerError {
				t.Fatalf("%s answered %d: %s", path, out.Code, out.Body)
			}
		}
	})
}

func TestClientTriesItsServersInTurn(t *testing.T) {
	transport := &replicaTransport{group: newGroup(), loseNextResponse: true}
	if _, err := transport.client(testKey).Status(); err != nil {
		t.Fatal(err)
	}
}

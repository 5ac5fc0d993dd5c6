package settings

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

const validFile = `
[host]
name = e1
role = entry
[availability-zones]
a = r1
[entry-hosts]
e1 = 127.0.0.1:7300 a
[control-hosts]
c1 = 127.0.0.1:7400 a
[entry]
caller-listen = 127.0.0.1:7100
admin-listen = 127.0.0.1:7200
[access]
peer-key = p
operator-key = o
`

func TestParseValid(t *testing.T) {
	s, role, err := Parse("f.ini", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	if role != RoleEntry || s.Region() != "r1" || s.Host.Peer.Port() != 7300 {
		t.Fatalf("got role %q, settings %+v", role, s)
	}
}

func TestParseReportsAllErrorsAtOnce(t *testing.T) {
	bad := strings.NewReplacer("127.0.0.1:7300 a", "localhost:7300 b", "7200", "7100").Replace(validFile) +
		"[limits]\nidle-timeout = 5\nmax-body-byte = 7\n"
	_, _, err := Parse("f.ini", []byte(bad))
	var validationErrors ValidationErrors
	if !errors.As(err, &validationErrors) {
		t.Fatalf("got %v, want ValidationErrors", err)
	}
	wantErrors := []string{
		"[entry-hosts] e1: availability zone \"b\"",
		"[entry-hosts] e1: \"localhost:7300\" is not an IP address",
		"[limits] idle-timeout",
		"[limits] max-body-byte: is not a known key",
		"address 127.0.0.1:7100 is used twice",
	}
	for _, want := range wantErrors {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("errors lack %q:\n%v", want, err)
		}
	}
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatalf("found %d example files, %v", len(files), err)
	}
	for _, file := range files {
		if _, _, err := Load(file); err != nil {
			t.Error(err)
		}
	}
}

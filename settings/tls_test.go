package settings

import (
	"strings"
	"testing"
	"time"
)

func TestTLSFilesLieBelowTheDataFolder(t *testing.T) {
	const allThree = "tls-certificate = a.pem\ntls-key = keys/a.key\ntls-ca = ca.pem\n"
	for name, c := range map[string]struct{ access, entry, wantError string }{
		"none":              {"", "", ""},
		"all":               {allThree, "data-folder = /d\nmax-configuration-age = 1m\n", ""},
		"two of three":      {strings.Replace(allThree, "tls-ca = ca.pem\n", "", 1), "data-folder = /d\n", "all three or none"},
		"no data folder":    {allThree, "", "need a data-folder"},
		"outside":           {strings.Replace(allThree, "ca.pem", "../ca.pem", 1), "data-folder = /d\n", "does not lie below"},
		"absolute":          {strings.Replace(allThree, "ca.pem", "/ca.pem", 1), "data-folder = /d\n", "does not lie below"},
		"age is no time":    {"", "max-configuration-age = 5\n", "is not a positive duration"},
		"age is not for it": {"", "max-age = 5s\n", "is not a known key"},
	} {
		t.Run(name, func(t *testing.T) {
			s, _, err := Parse("f.ini", []byte(validFile+c.access+"[entry]\n"+c.entry))
			if c.wantError != "" {
				if err == nil || !strings.Contains(err.Error(), c.wantError) {
					t.Fatalf("got %v, want %q", err, c.wantError)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if name == "all" && (s.Access.TLS.Key != "/d/keys/a.key" || s.Entry.MaxConfigurationAge != time.Minute) {
				t.Fatalf("got %+v, %+v", s.Access.TLS, s.Entry)
			}
			if s.Access.TLS.Enabled() != (name == "all") {
				t.Fatalf("TLS is set: %t", s.Access.TLS.Enabled())
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("[access]\ntls-ca = x\n[limits]\nidle-timeout = -1s\n"))
	f.Add([]byte("[host"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, _, err := Parse("f.ini", data)
		if err == nil && (s.Access.PeerKey == "" || s.Access.OperatorKey == "") {
			t.Fatal("settings without keys passed")
		}
	})
}

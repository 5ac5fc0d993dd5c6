package peer

import (
	"context"
	"encoding/json"
	"net"
	"testing"

	"github.com/rs/zerolog"

	"tanagerbarrow/access"
	"tanagerbarrow/access/accesstest"
	"tanagerbarrow/settings"
)

// serveLoopback starts a server with methodEcho on loopback, with TLS if files
// are set.
func serveLoopback(t *testing.T, files settings.TLSFiles) settings.Host {
	t.Helper()
	certificates, err := access.LoadTLS(files)
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer("key", zerolog.Nop())
	s.UseTLS(certificates.PeerServer())
	s.Handle(methodEcho, func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(context.Background(), l) }()
	t.Cleanup(func() {
		_ = l.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
		s.Close()
	})
	return settings.Host{Name: "far", Peer: l.Addr().(*net.TCPAddr).AddrPort()}
}

func TestTLSBetweenPeers(t *testing.T) {
	ours, theirs := accesstest.NewAuthority(t), accesstest.NewAuthority(t)
	server := ours.WriteFiles(t, t.TempDir())
	foreign := theirs.WriteFiles(t, t.TempDir())
	mixed := theirs.WriteFiles(t, t.TempDir())
	mixed.CA = server.CA
	for name, c := range map[string]struct {
		server, client settings.TLSFiles
		accepted       bool
	}{
		"plain to plain":                   {settings.TLSFiles{}, settings.TLSFiles{}, true},
		"TLS to TLS":                       {server, ours.WriteFiles(t, t.TempDir()), true},
		"plain to TLS":                     {server, settings.TLSFiles{}, false},
		"TLS to plain":                     {settings.TLSFiles{}, server, false},
		"server of a foreign authority":    {foreign, server, false},
		"client of a foreign authority":    {server, mixed, false},
		"client whose files do not exist":  {server, settings.TLSFiles{Certificate: "x", Key: "y", CA: "z"}, false},
		"client that trusts foreign alone": {server, foreign, false},
	} {
		t.Run(name, func(t *testing.T) {
			client := NewClient("near", "key", serveLoopback(t, c.server)).UseTLS(c.client)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), dialTimeout)
			defer cancel()
			err := client.Call(ctx, methodEcho, Empty{}, &Empty{})
			if (err == nil) != c.accepted {
				t.Errorf("accepted is %t, want %t: %v", err == nil, c.accepted, err)
			}
		})
	}
}

// Package crowd tests what callers that keep to no limit can do to the processes of a
// deployment. Each test starts real processes with small limits on loopback, lets a crowd
// of one kind connect, and checks while the crowd is still there that the processes live,
// that their memory and descriptors stay under their settings, and that an ordinary
// request is served. It judges neither times nor shares.
//
// The tests need a machine without other load: `make crowd` runs them one at a time.
package crowd

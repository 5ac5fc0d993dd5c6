package coordinator

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"tanagerbarrow/consensus/wal"
	"tanagerbarrow/fleet"
)

// firstStartFile is the name of the file in the data folder that records the first start of the
// deployment.
const firstStartFile = "first-start.json"

// firstStart is the record of the first start. A process that ends before the group has formed
// is started again by settings that no longer say that it is the first start, and whose
// seeds may be others; what was true at the first start still holds for its disk.
type firstStart struct {
	// MayBootstrap says that this host, and no other one, may bootstrap the group.
	MayBootstrap bool `json:"may_bootstrap"`
}

// recordFirstStart returns the record of the first start in the data folder, and writes it if this
// is the first start. It returns nil if this host was not started then, or has lost its disk
// since: it never bootstraps the group. A record that was cut by a loss of power counts as lost.
func recordFirstStart(s *fleet.Settings) (*firstStart, error) {
	path := filepath.Join(s.DataFolder, firstStartFile)
	data, err := os.ReadFile(path)
	var r firstStart
	switch {
	case err == nil && json.Unmarshal(data, &r) == nil:
		return &r, nil
	case err != nil && !errors.Is(err, fs.ErrNotExist):
		return nil, errors.Wrap(err, "read the record of the first start")
	case !s.FirstStart:
		return nil, nil
	}
	r.MayBootstrap = s.MayBootstrap()
	data, err = json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode the record of the first start")
	}
	return &r, errors.Wrap(writeSynced(path, data), "write the record of the first start")
}

// writeSynced writes a file and makes it and its name durable.
func writeSynced(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, filePermission)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	err = errors.CombineErrors(err, f.Sync())
	err = errors.CombineErrors(err, f.Close())
	return errors.CombineErrors(err, wal.OS{}.SyncDir(filepath.Dir(path)))
}

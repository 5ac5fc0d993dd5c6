package entry

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"tanagerbarrow/state"
)

// storeFile is the name of the configuration's copy in the data folder.
const storeFile = "configuration.json"

// configurationStore keeps a copy of the configuration in force on the entry's
// disk. A nil configurationStore stores nothing.
type configurationStore struct {
	folder string

	mu     sync.Mutex
	latest *state.Configuration
}

// storedConfiguration is the content of the copy's file.
type storedConfiguration struct {
	// Configuration is the configuration as JSON.
	Configuration json.RawMessage `json:"configuration"`
	// Sum is the xxHash checksum of those bytes.
	Sum uint64 `json:"sum"`
}

// openStore reads the copy in the folder, if there is one. It returns an error if
// the copy is damaged, because the entry then can't know which version was last in
// force.
func openStore(folder string) (*configurationStore, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, errors.Wrapf(err, "create data folder %q", folder)
	}
	s := &configurationStore{folder: folder}
	path := filepath.Join(folder, storeFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return s, nil
	}
	if err != nil {
		return nil, errors.Wrapf(err, "read %q", path)
	}
	s.latest, err = decodeStoredConfiguration(data)
	return s, errors.Wrapf(err, "file %q is damaged; delete it while a control host can be reached", path)
}

// decodeStoredConfiguration decodes the content of the copy's file and verifies the
// checksum.
func decodeStoredConfiguration(data []byte) (*state.Configuration, error) {
	var c storedConfiguration
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	if xxhash.Sum64(c.Configuration) != c.Sum {
		return nil, errors.New("checksum does not match")
	}
	return state.DecodeConfiguration(c.Configuration)
}

// last returns the last configuration that was in force, or nil if none was.
func (s *configurationStore) last() *state.Configuration {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

// checkNotOlder returns an error if version is older than the last one that was in
// force.
func (s *configurationStore) checkNotOlder(version uint64) error {
	if last := s.last(); last != nil && version < last.Version {
		return errors.Newf("version %d is older than %d, which was in force here", version, last.Version)
	}
	return nil
}

// save writes the copy and syncs it to disk. It is called before the configuration
// takes effect.
func (s *configurationStore) save(c *state.Configuration) error {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest = c
	data, err := json.Marshal(c)
	if err != nil {
		return errors.Wrapf(err, "encode configuration %d", c.Version)
	}
	data, err = json.Marshal(storedConfiguration{Configuration: data, Sum: xxhash.Sum64(data)})
	if err != nil {
		return errors.Wrapf(err, "encode copy of configuration %d", c.Version)
	}
	return replaceFile(s.folder, storeFile, data)
}

// replaceFile atomically replaces a file and syncs the file and its folder.
func replaceFile(folder, name string, data []byte) error {
	path := filepath.Join(folder, name)
	file, err := os.OpenFile(path+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return errors.Wrapf(err, "create %q", path+".new")
	}
	_, err = file.Write(data)
	err = errors.CombineErrors(err, file.Sync())
	err = errors.CombineErrors(err, file.Close())
	if err != nil {
		return errors.Wrapf(err, "write %q", path+".new")
	}
	if err := os.Rename(path+".new", path); err != nil {
		return errors.Wrapf(err, "replace %q", path)
	}
	return syncFolder(folder)
}

// syncFolder makes a rename in the folder durable.
func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return errors.Wrapf(err, "open folder %q", folder)
	}
	return errors.Wrapf(errors.CombineErrors(d.Sync(), d.Close()), "sync folder %q", folder)
}

package settings

import "path/filepath"

// entryStorage reads the optional data folder of an entry and the maximum age of
// its configuration.
func (r *reader) entryStorage(role Role, e *Entry) {
	if role != RoleEntry {
		return
	}
	e.DataFolder = r.value("entry", "data-folder", false)
	r.duration("entry", "max-configuration-age", &e.MaxConfigurationAge)
}

// tlsFiles reads the names of the TLS files, which must be below the data folder.
func (r *reader) tlsFiles(folder string, f *TLSFiles) {
	names := map[string]*string{"tls-certificate": &f.Certificate, "tls-key": &f.Key, "tls-ca": &f.CA}
	configured := 0
	for _, key := range []string{"tls-certificate", "tls-key", "tls-ca"} {
		name := r.value("access", key, false)
		if name == "" {
			continue
		}
		configured++
		if !filepath.IsLocal(name) {
			r.addError("access", key, "%q does not lie below the data folder", name)
		}
		*names[key] = filepath.Join(folder, name)
	}
	if configured != 0 && configured != len(names) {
		r.addError("access", "tls-certificate", "tls-certificate, tls-key and tls-ca are given all three or none")
	}
	if configured != 0 && folder == "" {
		r.addError("access", "tls-certificate", "TLS files need a data-folder")
	}
}

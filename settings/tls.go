package settings

import "path/filepath"

// entryFolder reads what an entry keeps on its disk, if it has one.
func (r *reader) entryFolder(role Role, e *Entry) {
	if role != RoleEntry {
		return
	}
	e.DataFolder = r.text("entry", "data-folder", false)
	r.durationOf("entry", "max-configuration-age", &e.MaxConfigurationAge)
}

// tlsFiles reads the names of the TLS files, which lie below the data folder.
func (r *reader) tlsFiles(folder string, f *TLSFiles) {
	names := map[string]*string{"tls-certificate": &f.Certificate, "tls-key": &f.Key, "tls-ca": &f.CA}
	given := 0
	for _, key := range []string{"tls-certificate", "tls-key", "tls-ca"} {
		name := r.text("access", key, false)
		if name == "" {
			continue
		}
		given++
		if !filepath.IsLocal(name) {
			r.fault("access", key, "%q does not lie below the data folder", name)
		}
		*names[key] = filepath.Join(folder, name)
	}
	if given != 0 && given != len(names) {
		r.fault("access", "tls-certificate", "tls-certificate, tls-key and tls-ca are given all three or none")
	}
	if given != 0 && folder == "" {
		r.fault("access", "tls-certificate", "TLS files need a data-folder")
	}
}

// Package wal stores one replica's ID, log and snapshots on disk.
//
// A folder contains a file "identity" with the replica ID, at most one current
// file "snapshot-INDEX", and log segments "log-NUMBER". Every file consists of
// records with checksums. [Store.Save] appends one record and syncs once. A
// segment begins with a header record that names the entry before the segment,
// so that a missing segment is detected.
//
// A crash can tear only the last record of the last segment, since each record
// is synced before the next is written. A damaged record with no valid record
// after it is therefore cut off; any other damage is a [CorruptError] with the
// file and the offset. Damage at rest to the very last record cannot be
// distinguished from a torn write, so that record is cut off too.
package wal

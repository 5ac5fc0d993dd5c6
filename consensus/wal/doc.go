// Package wal keeps one replica's identity, log and snapshots on disk.
//
// A folder holds a file "identity", at most one current file "snapshot-INDEX",
// and segments "log-NUMBER". Every file consists of records with checksums.
// [Store.Save] appends one record and syncs once. A segment begins with a head
// record that names the entry before it, so that a missing segment is noticed.
//
// Only the last record of the last segment can be torn by a crash, since each
// record is synced before the next is written. A damaged record with no valid
// record after it is therefore cut; any other damage is a [CorruptError] that
// names the file and the offset. A damaged record at the very end cannot be
// told from a torn one.
package wal

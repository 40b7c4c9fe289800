package wal

import (
	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/cockroachdb/errors"
)

// rewriteSegment replaces the last segment, whose sync failed, by a new file with the same content.
// Of the old file it uses only what an earlier sync has made durable; the rest comes from memory. A
// crash leaves the old file or the new one.
func (w *WAL) rewriteSegment() error {
	path := w.segments[len(w.segments)-1].path
	durable, err := w.durablePart(path)
	if err != nil {
		return err
	}
	f, err := vfs.WriteAtomically(w.files, path, durable, w.unsynced.Bytes())
	if err != nil {
		return err
	}
	_ = w.file.Close()
	w.file, w.partial = f, false
	return nil
}

// durablePart returns the bytes of a segment that were synced. It checks their records, so that a
// file that can't be read well is never replaced.
func (w *WAL) durablePart(path string) ([]byte, error) {
	if w.synced == 0 {
		return nil, nil
	}
	file, err := w.files.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read a segment")
	}
	if int64(len(file)) < w.synced {
		return nil, damaged(path, int64(len(file)), errTruncated)
	}
	durable := file[:w.synced]
	if _, err := decodeHeader(durable, segmentMagic); err != nil {
		return nil, damaged(path, 0, err)
	}
	for offset := int64(headerSize); offset < w.synced; {
		payload, err := decodeFrame(durable, w.salt, offset)
		if err != nil {
			return nil, damaged(path, offset, err)
		}
		offset += frameSize + int64(len(payload))
	}
	return durable, nil
}

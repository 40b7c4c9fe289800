package wal

import (
	"bytes"
	"encoding/binary"
	"flag"
	"hash/crc32"
	"os"
	"path/filepath"
	"testing"

	"github.com/bilberryferry/bilberryferry/replica"
	"github.com/shoenig/test/must"
)

var writeTestdata = flag.Bool("write-testdata", false, "write testdata of the current format version")

// benchEntryBytes is the size of the data of an entry in benchmarks.
const benchEntryBytes = 60

// writeSample saves the state that the testdata of each format version contains.
func writeSample(t *testing.T, folder string) {
	w, _ := mustOpen(t, folder, smallSegmentBytes)
	saveOneByOne(t, w, sampleState(), entryRange(1, 25, 2))
	must.NoError(t, w.SaveSnapshot(sampleSnapshot()))
	must.NoError(t, w.Close())
	must.NoError(t, os.Remove(filepath.Join(folder, lockName)))
}

func sampleState() *replica.HardState {
	return &replica.HardState{
		Term: 2, Vote: "b", Commit: 20, Incarnation: 1700000000000,
		KnownIncarnations: []replica.MemberIncarnation{{ID: "a", Incarnation: 1700000000000}, {ID: "b", Incarnation: 1700000000123}},
	}
}

func sampleSnapshot() replica.Snapshot {
	return replica.Snapshot{
		Index: 15, Term: 2,
		Members: []replica.Member{{ID: "a", Address: "10.0.0.1:1", HasDisk: true}, {ID: "b", Witness: true, Incarnation: 9}},
		Data:    []byte("state of fifteen entries"),
	}
}

// A member is upgraded and must read the files that a program with format version 1 wrote.
// A misread entry would lose acknowledged data.
func TestFilesOfVersion1AreRead(t *testing.T) {
	if *writeTestdata {
		writeSample(t, "testdata/v1")
	}
	folder := filepath.Join(t.TempDir(), "v1")
	copyFolder(t, "testdata/v1", folder)
	w, stored := mustOpen(t, folder, smallSegmentBytes)
	defer w.Close()
	must.Eq(t, *sampleState(), stored.HardState)
	must.Eq(t, sampleSnapshot(), stored.Snapshot)
	must.Eq(t, entryRange(16, 25, 2), stored.Entries)
}

// A member is downgraded to an older program. The program must refuse files of the newer
// format with an error that names the version, rather than report damage or guess the
// layout.
func TestNewerVersionIsRefused(t *testing.T) {
	b := header{magic: segmentMagic}.encode()
	_, err := decodeHeader(b, segmentMagic)
	must.NoError(t, err)
	binary.BigEndian.PutUint32(b[8:12], FormatVersion+1)
	binary.BigEndian.PutUint32(b[headerSize-4:], crc32.Checksum(b[:headerSize-4], castagnoli))
	_, err = decodeHeader(b, segmentMagic)
	must.ErrorContains(t, err, "format version 2 is not known")
}

// FuzzRecord reads arbitrary bytes as the records of a segment. It must not panic,
// and an accepted record must survive being written again.
func FuzzRecord(f *testing.F) {
	var frame bytes.Buffer
	for _, r := range []*record{
		{Base: &position{}, HardState: &replica.HardState{Term: 1}},
		{Entries: entryRange(1, 3, 1), Synced: 32},
		{Snapshot: &position{9, 2}},
	} {
		must.NoError(f, encodeFrame(&frame, r, 0, headerSize))
		f.Add(bytes.Clone(frame.Bytes()))
	}
	f.Add([]byte{})
	f.Add(frameMagic)
	f.Fuzz(func(t *testing.T, data []byte) {
		file := append(header{magic: segmentMagic}.encode(), data...)
		isTorn(file, 0, headerSize)
		payload, err := decodeFrame(file, 0, headerSize)
		if err != nil {
			payload = data // decode the bytes although the checksum fails
		}
		rec, err := decodeRecord(payload)
		if err != nil {
			return
		}
		_ = new(logState).apply(rec, true, true)
		var again bytes.Buffer
		must.NoError(t, encodeFrame(&again, rec, 0, headerSize))
		_, err = decodeRecord(again.Bytes()[frameSize:])
		must.NoError(t, err)
	})
}

// BenchmarkRecovery opens a log of 100,000 entries of 60 bytes.
func BenchmarkRecovery(b *testing.B) {
	const entries, batch = 100_000, 100
	folder := b.TempDir()
	w, _ := mustOpen(b, folder, DefaultSegmentBytes)
	data := bytes.Repeat([]byte{7}, benchEntryBytes)
	for i := uint64(1); i <= entries; i += batch {
		var batchEntries []replica.Entry
		for j := i; j < i+batch; j++ {
			batchEntries = append(batchEntries, replica.Entry{Index: j, Term: 1, Data: data})
		}
		must.NoError(b, w.Save(nil, batchEntries, false))
	}
	must.NoError(b, w.Close())
	for b.Loop() {
		w, stored := mustOpen(b, folder, DefaultSegmentBytes)
		must.Len(b, entries, stored.Entries)
		must.NoError(b, w.Close())
	}
}

// BenchmarkSave measures one synced write of a batch of 60-byte entries.
func BenchmarkSave(b *testing.B) {
	w, _ := mustOpen(b, b.TempDir(), DefaultSegmentBytes)
	defer w.Close()
	batch := make([]replica.Entry, 50)
	next := uint64(1)
	for b.Loop() {
		for i := range batch {
			batch[i] = replica.Entry{Index: next, Term: 1, Data: make([]byte, benchEntryBytes)}
			next++
		}
		must.NoError(b, w.Save(nil, batch, true))
	}
}

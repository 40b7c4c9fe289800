package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
)

// FormatVersion is the file format version in the header of each file.
const FormatVersion = 1

const (
	// headerSize is the size of a file header and frameSize that of a frame header, in
	// bytes. A frame header holds frameMagic (4 bytes), the payload length (4) and the
	// checksum (4), integers in big-endian order.
	headerSize = 32
	frameSize  = 12
	// maxPayload is the greatest payload length in bytes that is accepted.
	maxPayload = 1 << 30
)

var (
	segmentMagic  = [8]byte{'b', 'f', 's', 'e', 'g', 'm', 'n', 't'}
	snapshotMagic = [8]byte{'b', 'f', 's', 'n', 'a', 'p', 's', 't'}
	frameMagic    = []byte{0xb1, 0x1b, 0xe7, 0x0f}
	castagnoli    = crc32.MakeTable(crc32.Castagnoli)
)

// errTruncated means that a file ends before the end of a frame.
var errTruncated = errors.New("file ends inside the record")

// header is the header of each file: magic (8 bytes), format version (4), salt (8),
// sequence (8) and checksum (4), integers in big-endian order. sequence is the number of a
// segment, or the entry index of a snapshot.
//
// The salt is random for each file and part of the checksum of every record in it. Without
// the salt, bytes of a command that look like a whole record could be read as one if the
// record that contains the command is torn.
type header struct {
	magic    [8]byte
	salt     uint64
	sequence uint64
}

func (h header) encode() []byte {
	b := make([]byte, 0, headerSize)
	b = append(b, h.magic[:]...)
	b = binary.BigEndian.AppendUint32(b, FormatVersion)
	b = binary.BigEndian.AppendUint64(b, h.salt)
	b = binary.BigEndian.AppendUint64(b, h.sequence)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// decodeHeader returns the header of a file, or an error that names its defect.
func decodeHeader(b []byte, magic [8]byte) (header, error) {
	if len(b) < headerSize {
		return header{}, errors.New("file is shorter than its header")
	}
	if !bytes.Equal(b[:8], magic[:]) {
		return header{}, errors.New("magic number of the file is wrong")
	}
	sum := binary.BigEndian.Uint32(b[headerSize-4 : headerSize])
	if crc32.Checksum(b[:headerSize-4], castagnoli) != sum {
		return header{}, errors.New("checksum of the header is wrong")
	}
	if v := binary.BigEndian.Uint32(b[8:12]); v == 0 || v > FormatVersion {
		return header{}, errors.Newf("format version %d is not known; this program reads versions up to %d", v, FormatVersion)
	}
	return header{
		magic:    magic,
		salt:     binary.BigEndian.Uint64(b[12:20]),
		sequence: binary.BigEndian.Uint64(b[20:28]),
	}, nil
}

// checksum returns the CRC-32C of salt, offset, length and payload of a frame.
func checksum(salt uint64, offset int64, length []byte, payload []byte) uint32 {
	var location [16]byte
	binary.BigEndian.PutUint64(location[:8], salt)
	binary.BigEndian.PutUint64(location[8:], uint64(offset))
	sum := crc32.Update(0, castagnoli, location[:])
	sum = crc32.Update(sum, castagnoli, length)
	return crc32.Update(sum, castagnoli, payload)
}

// sealFrame fills in the frame header in the first frameSize bytes of frame, before
// the payload.
func sealFrame(frame []byte, salt uint64, offset int64) {
	copy(frame, frameMagic)
	binary.BigEndian.PutUint32(frame[4:8], uint32(len(frame)-frameSize))
	sum := checksum(salt, offset, frame[4:8], frame[frameSize:])
	binary.BigEndian.PutUint32(frame[8:frameSize], sum)
}

// decodeFrame returns the payload of the frame at offset. file is the whole file.
func decodeFrame(file []byte, salt uint64, offset int64) ([]byte, error) {
	rest := file[offset:]
	if len(rest) < frameSize {
		return nil, errTruncated
	}
	if !bytes.Equal(rest[:4], frameMagic) {
		return nil, errors.New("no record begins at this offset")
	}
	length := binary.BigEndian.Uint32(rest[4:8])
	if length == 0 || length > maxPayload {
		return nil, errors.Newf("record length %d is out of range", length)
	}
	if uint64(len(rest)) < frameSize+uint64(length) {
		return nil, errTruncated
	}
	payload := rest[frameSize : frameSize+int(length)]
	if checksum(salt, offset, rest[4:8], payload) != binary.BigEndian.Uint32(rest[8:frameSize]) {
		return nil, errors.New("checksum of the record is wrong")
	}
	return payload, nil
}

// nextFrame returns the first whole frame that begins after offset, or a nil payload.
func nextFrame(file []byte, salt uint64, offset int64) (at int64, payload []byte) {
	for from := offset + 1; from < int64(len(file)); {
		i := bytes.Index(file[from:], frameMagic)
		if i < 0 {
			return 0, nil
		}
		at = from + int64(i)
		if payload, err := decodeFrame(file, salt, at); err == nil {
			return at, payload
		}
		from = at + 1
	}
	return 0, nil
}

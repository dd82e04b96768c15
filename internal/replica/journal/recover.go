package journal

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"

	"gypsumreel/internal/replica/quorum"
)

// Each segment starts with a magic number and the format version.
const (
	magic         = "GRJL"
	formatVersion = 1
	headerSize    = 8
)

// Recovered is the content of a journal when it was opened.
type Recovered struct {
	HardState quorum.HardState
	// Entries have consecutive indexes. Earlier entries have been removed by compaction.
	Entries []quorum.Entry
	// New reports that the folder held no journal. If the replica already has an
	// identity, this means that its journal files were removed.
	New bool
	// TornTail reports that the remains of an interrupted write were truncated.
	TornTail bool
}

// segmentReader rebuilds the state of the journal from its segments, oldest first.
type segmentReader struct {
	Recovered
	segments segments
}

// segmentScan is the result of reading one segment.
type segmentScan struct {
	// validSize is the offset after the last complete frame. The file is truncated
	// to this size. 0 means that the creation of the segment was not finished.
	validSize int64
	// fileSize is the length of the file in bytes.
	fileSize int64
	// tornTail reports that bytes other than preallocated zeros follow validSize.
	tornTail bool
}

// segmentHeader returns the encoded header of a segment.
func segmentHeader() []byte {
	return protowire.AppendFixed32([]byte(magic), formatVersion)
}

// readSegment adds the content of one segment to the recovered state. In the newest
// segment, the remains of an interrupted write at the end are reported as a torn
// tail. All other unreadable data is an error.
func (r *segmentReader) readSegment(path string, segmentNumber uint64, b []byte, isNewest bool) (segmentScan, error) {
	r.segments = r.segments.withSegment(segmentNumber)
	headerComplete, err := checkHeader(path, b, isNewest)
	if err != nil {
		return segmentScan{}, err
	}
	if !headerComplete {
		return checkTail(path, segmentNumber, b, 0, isNewest)
	}
	off := int64(headerSize)
	for off < int64(len(b)) || off == headerSize {
		body, next, ok := frameAt(b, segmentNumber, off)
		if !ok {
			return checkTail(path, segmentNumber, b, off, isNewest)
		}
		rec, err := decodeRecord(body)
		if err != nil {
			return segmentScan{}, &CorruptionError{File: path, Offset: off, Reason: err.Error()}
		}
		if rec.syncedSize > uint64(off) {
			return segmentScan{}, &CorruptionError{File: path, Offset: off, Reason: "frame records a synced size beyond its own offset"}
		}
		if err := r.applyRecord(rec); err != nil {
			return segmentScan{}, &CorruptionError{File: path, Offset: off, Reason: err.Error()}
		}
		off = next
	}
	return segmentScan{validSize: off}, nil
}

// checkHeader reports whether the header is complete. In the newest segment the
// header may never have been synced, and then it is missing, partial or zero.
func checkHeader(path string, b []byte, isNewest bool) (complete bool, err error) {
	head := b[:min(len(b), headerSize)]
	if len(head) == headerSize && string(head[:len(magic)]) == magic {
		if v := binary.LittleEndian.Uint32(head[len(magic):]); v != formatVersion {
			return false, &VersionError{File: path, FileVersion: v, SupportedVersion: formatVersion}
		}
		return true, nil
	}
	neverSynced := bytes.HasPrefix(segmentHeader(), head) || len(bytes.Trim(head, "\x00")) == 0
	if isNewest && neverSynced {
		return false, nil
	}
	return false, &CorruptionError{File: path, Reason: "not a journal segment"}
}

// checkTail decides whether an offset without a complete frame is a torn tail or
// corruption. Each frame records the size that was synced before the frame was
// written. If a later frame records a synced size beyond the offset, the data there
// was synced and has been corrupted. Otherwise it is a torn tail.
func checkTail(path string, segmentNumber uint64, b []byte, off int64, isNewest bool) (segmentScan, error) {
	if !isNewest {
		return segmentScan{}, &CorruptionError{File: path, Offset: off, Reason: "incomplete frame in a segment that is not the newest"}
	}
	markerBytes := protowire.AppendFixed32(nil, frameMarker)
	for pos := off + 1; ; pos++ {
		i := bytes.Index(b[min(pos, int64(len(b))):], markerBytes)
		if i < 0 {
			break
		}
		pos += int64(i)
		body, _, ok := frameAt(b, segmentNumber, pos)
		if !ok {
			continue
		}
		rec, err := decodeRecord(body)
		if err == nil && rec.syncedSize > uint64(off) {
			reason := fmt.Sprintf("incomplete frame, although its data was synced before the frame at byte %d was written", pos)
			return segmentScan{}, &CorruptionError{File: path, Offset: off, Reason: reason}
		}
	}
	hasData := len(bytes.Trim(b[min(off, int64(len(b))):], "\x00")) > 0
	if off == headerSize {
		off = 0
	}
	return segmentScan{validSize: off, tornTail: hasData}, nil
}

// applyRecord applies a record to the recovered state. Each entry replaces the
// entry with the same index and all after it.
func (r *segmentReader) applyRecord(rec record) error {
	if rec.hardState != nil {
		r.HardState = *rec.hardState
	}
	if rec.resetLog {
		r.Entries = nil
	}
	for _, e := range rec.entries {
		r.segments.recordEntry(e.Index)
		if n := len(r.Entries); n > 0 {
			first := r.Entries[0].Index
			switch {
			case e.Index > r.Entries[n-1].Index+1:
				return ErrIndexGap
			case e.Index < first:
				r.Entries = r.Entries[:0]
			default:
				r.Entries = r.Entries[:e.Index-first]
			}
		}
		r.Entries = append(r.Entries, e)
	}
	return nil
}

package journal

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"

	"gypsumreel/internal/replica/quorum"
)

// Each segment starts with a magic word and the version of the format.
const (
	magic         = "GRJL"
	formatVersion = 1
	headerSize    = 8
)

// Recovered is what a journal held when it was opened.
type Recovered struct {
	HardState quorum.Hard
	// Entries have consecutive indexes; those before the first were compacted away.
	Entries []quorum.Entry
	// New tells that there was no journal. For a replica that has an identity
	// already this means that its files were taken away.
	New bool
	// TornTail tells that what an interrupted write had left was cut off.
	TornTail bool
}

// segmentReader recovers the segments one after the other.
type segmentReader struct {
	Recovered
	segments segments
}

// segmentScan is the outcome of reading one segment.
type segmentScan struct {
	// validSize is the size up to which frames are whole; what follows is cut off. With
	// 0 the segment never came into use.
	validSize int64
	// fileSize of the file.
	fileSize int64
	// tornTail tells that something follows, and not only room that was reserved.
	tornTail bool
}

// segmentHeader returns the first bytes of a segment.
func segmentHeader() []byte {
	return protowire.AppendFixed32([]byte(magic), formatVersion)
}

// readSegment adds the content of one segment to the recovered state. In the last
// segment, what an interrupted write left behind at the end is told as torn;
// all else that cannot be read is an error.
func (r *segmentReader) readSegment(path string, segmentNumber uint64, b []byte, last bool) (segmentScan, error) {
	r.segments = r.segments.withSegment(segmentNumber)
	headerComplete, err := checkHeader(path, b, last)
	if err != nil {
		return segmentScan{}, err
	}
	if !headerComplete {
		return checkTail(path, segmentNumber, b, 0, last)
	}
	off := int64(headerSize)
	for off < int64(len(b)) || off == headerSize {
		body, next, ok := frameAt(b, segmentNumber, off)
		if !ok {
			return checkTail(path, segmentNumber, b, off, last)
		}
		rec, err := decodeRecord(body)
		if err != nil {
			return segmentScan{}, &CorruptionError{File: path, Offset: off, Reason: err.Error()}
		}
		if rec.syncedSize > uint64(off) {
			return segmentScan{}, &CorruptionError{File: path, Offset: off, Reason: "frame tells of data after itself"}
		}
		if err := r.applyRecord(rec); err != nil {
			return segmentScan{}, &CorruptionError{File: path, Offset: off, Reason: err.Error()}
		}
		off = next
	}
	return segmentScan{validSize: off}, nil
}

// checkHeader tells whether the header is whole. In the last segment it may also
// be one that was never synced, which reads as missing or zero.
func checkHeader(path string, b []byte, last bool) (complete bool, err error) {
	head := b[:min(len(b), headerSize)]
	if len(head) == headerSize && string(head[:len(magic)]) == magic {
		if v := binary.LittleEndian.Uint32(head[len(magic):]); v != formatVersion {
			return false, &VersionError{File: path, FileVersion: v, SupportedVersion: formatVersion}
		}
		return true, nil
	}
	neverSynced := bytes.HasPrefix(segmentHeader(), head) || len(bytes.Trim(head, "\x00")) == 0
	if last && neverSynced {
		return false, nil
	}
	return false, &CorruptionError{File: path, Reason: "not a journal segment"}
}

// checkTail judges a place that holds no whole frame. It is a torn tail when nothing
// at or after it was ever synced: no later frame in the file was written after a
// sync that covered the place.
func checkTail(path string, segmentNumber uint64, b []byte, off int64, last bool) (segmentScan, error) {
	if !last {
		return segmentScan{}, &CorruptionError{File: path, Offset: off, Reason: "frame is not whole, in a segment that was completed"}
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
			reason := fmt.Sprintf("frame is not whole, yet was synced before the frame at byte %d was written", pos)
			return segmentScan{}, &CorruptionError{File: path, Offset: off, Reason: reason}
		}
	}
	hasData := len(bytes.Trim(b[min(off, int64(len(b))):], "\x00")) > 0
	if off == headerSize {
		off = 0
	}
	return segmentScan{validSize: off, tornTail: hasData}, nil
}

// applyRecord applies a record: its entries replace those from the same index on.
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

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
	magic       = "GRJL"
	version     = 1
	headerBytes = 8
)

// Recovered is what a journal held when it was opened.
type Recovered struct {
	HardState quorum.HardState
	// Entries have consecutive indexes; those before the first were compacted away.
	Entries []quorum.Entry
	// New tells that there was no journal. For a replica that has an identity
	// already this means that its files were taken away.
	New bool
	// TornTail tells that what an interrupted write had left was cut off.
	TornTail bool
}

// reader recovers the segments one after the other.
type reader struct {
	Recovered
	segments segments
}

// scan is the outcome of reading one segment.
type scan struct {
	// good is the size up to which frames are whole; what follows is cut off. With
	// 0 the segment never came into use.
	good int64
	// size of the file.
	size int64
	// torn tells that something follows, and not only room that was reserved.
	torn bool
}

// header returns the first bytes of a segment.
func header() []byte {
	return protowire.AppendFixed32([]byte(magic), version)
}

// read adds the content of one segment to the recovered state. In the last
// segment, what an interrupted write left behind at the end is told as torn;
// all else that cannot be read is an error.
func (r *reader) read(name string, number uint64, b []byte, last bool) (scan, error) {
	r.segments = r.segments.with(number)
	whole, err := checkHeader(name, b, last)
	if err != nil {
		return scan{}, err
	}
	if !whole {
		return tail(name, number, b, 0, last)
	}
	off := int64(headerBytes)
	for off < int64(len(b)) || off == headerBytes {
		body, next, ok := frameAt(b, number, off)
		if !ok {
			return tail(name, number, b, off, last)
		}
		rec, err := decodeRecord(body)
		if err != nil {
			return scan{}, &CorruptionError{File: name, Offset: off, Reason: err.Error()}
		}
		if rec.mark > uint64(off) {
			return scan{}, &CorruptionError{File: name, Offset: off, Reason: "frame tells of data after itself"}
		}
		if err := r.add(rec); err != nil {
			return scan{}, &CorruptionError{File: name, Offset: off, Reason: err.Error()}
		}
		off = next
	}
	return scan{good: off}, nil
}

// checkHeader tells whether the header is whole. In the last segment it may also
// be one that was never synced, which reads as missing or zero.
func checkHeader(name string, b []byte, last bool) (whole bool, err error) {
	head := b[:min(len(b), headerBytes)]
	if len(head) == headerBytes && string(head[:len(magic)]) == magic {
		if v := binary.LittleEndian.Uint32(head[len(magic):]); v != version {
			return false, &VersionError{File: name, FileVersion: v, SupportedVersion: version}
		}
		return true, nil
	}
	unsynced := bytes.HasPrefix(header(), head) || len(bytes.Trim(head, "\x00")) == 0
	if last && unsynced {
		return false, nil
	}
	return false, &CorruptionError{File: name, Reason: "not a journal segment"}
}

// tail judges a place that holds no whole frame. It is a torn tail when nothing
// at or after it was ever synced: no later frame in the file was written after a
// sync that covered the place.
func tail(name string, number uint64, b []byte, off int64, last bool) (scan, error) {
	if !last {
		return scan{}, &CorruptionError{File: name, Offset: off, Reason: "frame is not whole, in a segment that was completed"}
	}
	word := protowire.AppendFixed32(nil, marker)
	for at := off + 1; ; at++ {
		i := bytes.Index(b[min(at, int64(len(b))):], word)
		if i < 0 {
			break
		}
		at += int64(i)
		body, _, ok := frameAt(b, number, at)
		if !ok {
			continue
		}
		rec, err := decodeRecord(body)
		if err == nil && rec.mark > uint64(off) {
			why := fmt.Sprintf("frame is not whole, yet was synced before the frame at byte %d was written", at)
			return scan{}, &CorruptionError{File: name, Offset: off, Reason: why}
		}
	}
	remains := len(bytes.Trim(b[min(off, int64(len(b))):], "\x00")) > 0
	if off == headerBytes {
		off = 0
	}
	return scan{good: off, torn: remains}, nil
}

// add applies a record: its entries replace those from the same index on.
func (r *reader) add(rec record) error {
	if rec.hard != nil {
		r.HardState = *rec.hard
	}
	if rec.reset {
		r.Entries = nil
	}
	for _, e := range rec.entries {
		r.segments.note(e.Index)
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

package journal

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"

	"gypsumreel/internal/replica/quorum"
	"gypsumreel/internal/replica/wire"
)

// A segment consists of a file header followed by frames of this layout:
//
//	marker fixed32 | length fixed32 | checksum fixed64 | record (length bytes)
//
// The checksum is the XXH64 hash of the record. Its seed combines the segment number
// and the offset of the frame, so that a frame is not accepted at any other place.
const (
	frameMarker     uint32 = 0x4c524e4a
	frameHeaderSize        = 16
	// maxRecordSize is the maximum size of a record in bytes. It limits how much is
	// read when the length of a frame is corrupted.
	maxRecordSize = 64 << 20
)

// Field numbers of a record and its parts, in the protobuf wire format.
const (
	fieldSyncedSize protowire.Number = 1
	fieldHardState  protowire.Number = 2
	fieldEntry      protowire.Number = 3
	fieldReset      protowire.Number = 4

	fieldTerm protowire.Number = 1
	fieldVote protowire.Number = 2

	fieldIndex     protowire.Number = 1
	fieldEntryTerm protowire.Number = 2
	fieldKind      protowire.Number = 3
	fieldData      protowire.Number = 4
)

// record is the content of one frame.
type record struct {
	// syncedSize is the size of the segment that was synced before the frame was
	// written. Unreadable data below it is corruption, not a torn tail.
	syncedSize uint64
	hardState  *quorum.HardState
	// resetLog reports that the entries follow a snapshot, so that recovery discards
	// all earlier entries.
	resetLog bool
	entries  []quorum.Entry
}

// appendFrame appends the frame of a record to b. The frame must be written at
// offset off of the segment, because its checksum includes the offset.
func appendFrame(b []byte, segmentNumber uint64, off int64, r record) []byte {
	start := len(b)
	b = append(b, make([]byte, frameHeaderSize)...)
	b = protowire.AppendTag(b, fieldSyncedSize, protowire.VarintType)
	b = protowire.AppendVarint(b, r.syncedSize)
	if r.hardState != nil {
		b = protowire.AppendTag(b, fieldHardState, protowire.BytesType)
		b = protowire.AppendBytes(b, encodeHardState(*r.hardState))
	}
	if r.resetLog {
		b = protowire.AppendTag(b, fieldReset, protowire.VarintType)
		b = protowire.AppendVarint(b, protowire.EncodeBool(true))
	}
	for i := range r.entries {
		b = appendEntry(b, &r.entries[i])
	}
	body := b[start+frameHeaderSize:]
	head := b[start:start]
	head = protowire.AppendFixed32(head, frameMarker)
	head = protowire.AppendFixed32(head, uint32(len(body)))
	protowire.AppendFixed64(head, checksum(segmentNumber, off, body))
	return b
}

func checksum(segmentNumber uint64, off int64, body []byte) uint64 {
	d := xxhash.NewWithSeed(segmentNumber<<32 ^ uint64(off))
	_, _ = d.Write(body)
	return d.Sum64()
}

func encodeHardState(h quorum.HardState) []byte {
	b := protowire.AppendTag(nil, fieldTerm, protowire.VarintType)
	b = protowire.AppendVarint(b, h.Term)
	b = protowire.AppendTag(b, fieldVote, protowire.BytesType)
	return protowire.AppendString(b, h.Vote)
}

// appendEntry appends one entry to b as a length-prefixed message.
func appendEntry(b []byte, e *quorum.Entry) []byte {
	size := 3*protowire.SizeTag(fieldIndex) + protowire.SizeVarint(e.Index) +
		protowire.SizeVarint(e.Term) + protowire.SizeVarint(uint64(e.Kind)) +
		protowire.SizeTag(fieldData) + protowire.SizeBytes(len(e.Data))
	b = protowire.AppendTag(b, fieldEntry, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(size))
	b = protowire.AppendTag(b, fieldIndex, protowire.VarintType)
	b = protowire.AppendVarint(b, e.Index)
	b = protowire.AppendTag(b, fieldEntryTerm, protowire.VarintType)
	b = protowire.AppendVarint(b, e.Term)
	b = protowire.AppendTag(b, fieldKind, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(e.Kind))
	b = protowire.AppendTag(b, fieldData, protowire.BytesType)
	return protowire.AppendBytes(b, e.Data)
}

// frameAt returns the encoded record of the frame at off and the offset after the
// frame. ok is false if there is no complete frame with a valid checksum at off.
func frameAt(b []byte, segmentNumber uint64, off int64) (body []byte, next int64, ok bool) {
	if off < 0 || int64(len(b))-off < frameHeaderSize {
		return nil, 0, false
	}
	head := b[off:]
	size := int64(binary.LittleEndian.Uint32(head[4:]))
	if binary.LittleEndian.Uint32(head) != frameMarker || size > maxRecordSize || size > int64(len(head))-frameHeaderSize {
		return nil, 0, false
	}
	body = head[frameHeaderSize : frameHeaderSize+size]
	if binary.LittleEndian.Uint64(head[8:]) != checksum(segmentNumber, off, body) {
		return nil, 0, false
	}
	return body, off + frameHeaderSize + size, true
}

// decodeRecord decodes a record. Its entries do not share memory with b.
func decodeRecord(b []byte) (record, error) {
	var r record
	err := wire.VisitFields(b, func(f protowire.Number, v uint64, data []byte) error {
		switch f {
		case fieldSyncedSize:
			r.syncedSize = v
		case fieldReset:
			r.resetLog = protowire.DecodeBool(v)
		case fieldHardState:
			h, err := decodeHardState(data)
			r.hardState = &h
			return err
		case fieldEntry:
			e, err := decodeEntry(data)
			r.entries = append(r.entries, e)
			return err
		}
		return nil
	})
	return r, err
}

func decodeHardState(b []byte) (quorum.HardState, error) {
	var h quorum.HardState
	err := wire.VisitFields(b, func(f protowire.Number, v uint64, data []byte) error {
		switch f {
		case fieldTerm:
			h.Term = v
		case fieldVote:
			h.Vote = string(data)
		}
		return nil
	})
	return h, err
}

func decodeEntry(b []byte) (quorum.Entry, error) {
	var e quorum.Entry
	err := wire.VisitFields(b, func(f protowire.Number, v uint64, data []byte) error {
		switch f {
		case fieldIndex:
			e.Index = v
		case fieldEntryTerm:
			e.Term = v
		case fieldKind:
			e.Kind = quorum.EntryKind(v)
		case fieldData:
			if len(data) > 0 {
				e.Data = append([]byte(nil), data...)
			}
		}
		return nil
	})
	if err == nil && e.Index == 0 {
		err = wire.ErrMalformed
	}
	return e, err
}

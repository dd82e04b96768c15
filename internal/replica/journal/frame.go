package journal

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"

	"gypsumreel/internal/replica/quorum"
	"gypsumreel/internal/replica/wire"
)

// A segment is a file header and then frames:
//
//	marker fixed32 | length fixed32 | checksum fixed64 | record (length bytes)
//
// The checksum is the XXH64 of the record, seeded with the number of the
// segment and the offset of the frame, so that a frame counts only at its place.
const (
	marker     uint32 = 0x4c524e4a
	frameBytes        = 16
	// maxRecord bounds a record, and so what a damaged length can make us read.
	maxRecord = 64 << 20
)

// Fields of the records, in protobuf's wire format.
const (
	fieldMark  protowire.Number = 1
	fieldHard  protowire.Number = 2
	fieldEntry protowire.Number = 3
	fieldReset protowire.Number = 4

	fieldTerm protowire.Number = 1
	fieldVote protowire.Number = 2

	fieldIndex     protowire.Number = 1
	fieldEntryTerm protowire.Number = 2
	fieldKind      protowire.Number = 3
	fieldData      protowire.Number = 4
)

// record is what one frame holds.
type record struct {
	// mark is the size of the segment that was synced before the frame was
	// written: damage below it is no torn tail.
	mark uint64
	hard *quorum.HardState
	// reset tells that the entries go on from a snapshot, not from those before.
	reset   bool
	entries []quorum.Entry
}

// appendFrame adds the frame of a record to b, to be written at off of the segment.
func appendFrame(b []byte, number uint64, off int64, r record) []byte {
	start := len(b)
	b = append(b, make([]byte, frameBytes)...)
	b = protowire.AppendTag(b, fieldMark, protowire.VarintType)
	b = protowire.AppendVarint(b, r.mark)
	if r.hard != nil {
		b = protowire.AppendTag(b, fieldHard, protowire.BytesType)
		b = protowire.AppendBytes(b, encodeHard(*r.hard))
	}
	if r.reset {
		b = protowire.AppendTag(b, fieldReset, protowire.VarintType)
		b = protowire.AppendVarint(b, protowire.EncodeBool(true))
	}
	for i := range r.entries {
		b = appendEntry(b, &r.entries[i])
	}
	body := b[start+frameBytes:]
	head := b[start:start]
	head = protowire.AppendFixed32(head, marker)
	head = protowire.AppendFixed32(head, uint32(len(body)))
	protowire.AppendFixed64(head, checksum(number, off, body))
	return b
}

func checksum(number uint64, off int64, body []byte) uint64 {
	d := xxhash.NewWithSeed(number<<32 ^ uint64(off))
	_, _ = d.Write(body)
	return d.Sum64()
}

func encodeHard(h quorum.HardState) []byte {
	b := protowire.AppendTag(nil, fieldTerm, protowire.VarintType)
	b = protowire.AppendVarint(b, h.Term)
	b = protowire.AppendTag(b, fieldVote, protowire.BytesType)
	return protowire.AppendString(b, h.Vote)
}

// appendEntry adds one entry as a length-prefixed message.
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

// frameAt returns the record's bytes of the frame at off and the offset after
// it; ok is false when no whole frame with a right checksum is there.
func frameAt(b []byte, number uint64, off int64) (body []byte, next int64, ok bool) {
	if off < 0 || int64(len(b))-off < frameBytes {
		return nil, 0, false
	}
	head := b[off:]
	size := int64(binary.LittleEndian.Uint32(head[4:]))
	if binary.LittleEndian.Uint32(head) != marker || size > maxRecord || size > int64(len(head))-frameBytes {
		return nil, 0, false
	}
	body = head[frameBytes : frameBytes+size]
	if binary.LittleEndian.Uint64(head[8:]) != checksum(number, off, body) {
		return nil, 0, false
	}
	return body, off + frameBytes + size, true
}

// decodeRecord reads a record; its entries do not share memory with b.
func decodeRecord(b []byte) (record, error) {
	var r record
	err := wire.VisitFields(b, func(f protowire.Number, v uint64, data []byte) error {
		switch f {
		case fieldMark:
			r.mark = v
		case fieldReset:
			r.reset = protowire.DecodeBool(v)
		case fieldHard:
			h, err := decodeHard(data)
			r.hard = &h
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

func decodeHard(b []byte) (quorum.HardState, error) {
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

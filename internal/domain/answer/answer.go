// Package answer cuts answers into numbered chunks and puts them together again.
package answer

import (
	"iter"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	v1 "gypsumreel/internal/api/v1"
)

// Bounds of answers, in bytes.
const (
	// ChunkSize is the size of all chunks but the last.
	ChunkSize = 128 << 10
	// MaxTaskAnswer bounds a task's whole answer.
	MaxTaskAnswer = 1 << 20
	// MaxJobAnswer bounds a job's whole answer, the sum over its tasks.
	MaxJobAnswer = 32 << 20
	// minChunk is the mean size of chunks below which an answer is refused: a
	// sender that cuts finer would cost more in numbers than in data.
	minChunk = 1024
)

// ErrChunkMismatch is returned for a chunk that belongs to another answer, or is damaged.
var ErrChunkMismatch = errors.New("chunk of another answer")

// ChunkCount returns the number of chunks of an answer; an empty one has one.
func ChunkCount(total int) uint32 {
	return uint32(max(1, (total+ChunkSize-1)/ChunkSize))
}

// ChunkAt returns one chunk of an answer; nil when there is none of that number.
func ChunkAt(data []byte, number uint32) *v1.Chunk {
	count := ChunkCount(len(data))
	if number >= count {
		return nil
	}
	from := int(number) * ChunkSize
	to := min(from+ChunkSize, len(data))
	return &v1.Chunk{Number: number, Count: count, Total: uint64(len(data)), Sum: xxhash.Sum64(data), Data: data[from:to]}
}

// Header is what every chunk of an answer tells of the whole.
type Header struct {
	// Total is the length in bytes, Sum the checksum of all of it.
	Total int
	Sum   uint64
}

// NewHeader returns the head of an answer that comes in pieces.
func NewHeader(pieces iter.Seq[[]byte]) Header {
	var h Header
	sum := xxhash.New()
	for p := range pieces {
		_, _ = sum.Write(p)
		h.Total += len(p)
	}
	h.Sum = sum.Sum64()
	return h
}

// ChunkAt returns one chunk of the answer that the pieces make; nil when there is
// none of that number. Only the bytes of the chunk are copied.
func (h Header) ChunkAt(pieces iter.Seq[[]byte], number uint32) *v1.Chunk {
	count := ChunkCount(h.Total)
	if number >= count {
		return nil
	}
	from := int(number) * ChunkSize
	to := min(from+ChunkSize, h.Total)
	data := make([]byte, 0, to-from)
	at := 0
	for p := range pieces {
		if at >= to {
			break
		}
		data = append(data, p[min(len(p), max(0, from-at)):min(len(p), to-at)]...)
		at += len(p)
	}
	return &v1.Chunk{Number: number, Count: count, Total: uint64(h.Total), Sum: h.Sum, Data: data}
}

// Split returns all chunks of an answer.
func Split(data []byte) []*v1.Chunk {
	out := make([]*v1.Chunk, 0, ChunkCount(len(data)))
	for n := range ChunkCount(len(data)) {
		out = append(out, ChunkAt(data, n))
	}
	return out
}

// Assembler collects the chunks of one answer in any order. The zero value is empty.
type Assembler struct {
	// MaxBytes bounds the whole answer in bytes; MaxTotal when 0.
	MaxBytes uint64

	head *v1.Chunk
	data map[uint32][]byte
}

// Add takes a chunk; one that came before is dropped. It returns ErrMixed for a
// chunk of another answer: parts of two answers never make one.
func (p *Assembler) Add(c *v1.Chunk) error {
	most := p.MaxBytes
	if most == 0 {
		most = MaxTaskAnswer
	}
	if c.GetCount() == 0 || uint64(c.GetCount()) > most/minChunk+1 || c.GetNumber() >= c.GetCount() || c.GetTotal() > most {
		return errors.Wrap(ErrChunkMismatch, "numbers out of bounds")
	}
	if p.head == nil {
		p.head, p.data = c, map[uint32][]byte{}
	}
	h := p.head
	if c.GetCount() != h.GetCount() || c.GetTotal() != h.GetTotal() || c.GetSum() != h.GetSum() {
		return ErrChunkMismatch
	}
	if _, ok := p.data[c.GetNumber()]; !ok {
		p.data[c.GetNumber()] = c.GetData()
	}
	return nil
}

// NextMissing returns the number of the first missing chunk; false when none is.
func (p *Assembler) NextMissing() (uint32, bool) {
	if p.head == nil {
		return 0, true
	}
	for n := range p.head.GetCount() {
		if _, ok := p.data[n]; !ok {
			return n, true
		}
	}
	return 0, false
}

// Assemble returns the answer once every chunk is there and length and sum agree;
// false while chunks are missing, ErrMixed when what came does not add up.
func (p *Assembler) Assemble() ([]byte, bool, error) {
	if p.head == nil || uint32(len(p.data)) < p.head.GetCount() {
		return nil, false, nil
	}
	data := make([]byte, 0, p.head.GetTotal())
	for n := range p.head.GetCount() {
		data = append(data, p.data[n]...)
	}
	if uint64(len(data)) != p.head.GetTotal() || xxhash.Sum64(data) != p.head.GetSum() {
		return nil, false, errors.Wrap(ErrChunkMismatch, "length or sum differs")
	}
	return data, true, nil
}

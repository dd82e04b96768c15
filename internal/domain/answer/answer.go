// Package answer splits answers into numbered chunks and reassembles them.
package answer

import (
	"iter"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	v1 "gypsumreel/internal/api/v1"
)

// Limits on answers, in bytes.
const (
	// ChunkSize is the size of every chunk except the last, which may be shorter.
	ChunkSize = 128 << 10
	// MaxTaskAnswer is the maximum size of one task's answer.
	MaxTaskAnswer = 1 << 20
	// MaxJobAnswer is the maximum size of a job's answer, summed over its tasks.
	MaxJobAnswer = 32 << 20
	// minMeanChunk is the minimum mean chunk size. An answer in smaller chunks
	// is refused, because the overhead per chunk would exceed the data.
	minMeanChunk = 1024
)

// ErrChunkMismatch is returned for a chunk that is damaged or belongs to another answer.
var ErrChunkMismatch = errors.New("chunk is damaged or belongs to another answer")

// ChunkCount returns the number of chunks of an answer of the given length in
// bytes. An empty answer has one chunk.
func ChunkCount(total int) uint32 {
	return uint32(max(1, (total+ChunkSize-1)/ChunkSize))
}

// ChunkAt returns the chunk with the given number, or nil when the answer has no
// such chunk.
func ChunkAt(data []byte, number uint32) *v1.Chunk {
	count := ChunkCount(len(data))
	if number >= count {
		return nil
	}
	start := int(number) * ChunkSize
	end := min(start+ChunkSize, len(data))
	return &v1.Chunk{Number: number, Count: count, Total: uint64(len(data)), Sum: xxhash.Sum64(data), Data: data[start:end]}
}

// Header holds the length and checksum of a whole answer. Every chunk repeats them.
type Header struct {
	// Total is the length of the answer in bytes.
	Total int
	// Sum is the xxHash64 checksum of the whole answer.
	Sum uint64
}

// NewHeader returns the header of the answer that the concatenated pieces make up.
func NewHeader(pieces iter.Seq[[]byte]) Header {
	var h Header
	hash := xxhash.New()
	for piece := range pieces {
		_, _ = hash.Write(piece)
		h.Total += len(piece)
	}
	h.Sum = hash.Sum64()
	return h
}

// ChunkAt returns the chunk with the given number of the concatenated pieces, or
// nil when there is no such chunk. It copies only the bytes of that chunk.
func (h Header) ChunkAt(pieces iter.Seq[[]byte], number uint32) *v1.Chunk {
	count := ChunkCount(h.Total)
	if number >= count {
		return nil
	}
	start := int(number) * ChunkSize
	end := min(start+ChunkSize, h.Total)
	data := make([]byte, 0, end-start)
	offset := 0
	for piece := range pieces {
		if offset >= end {
			break
		}
		data = append(data, piece[min(len(piece), max(0, start-offset)):min(len(piece), end-offset)]...)
		offset += len(piece)
	}
	return &v1.Chunk{Number: number, Count: count, Total: uint64(h.Total), Sum: h.Sum, Data: data}
}

// Split returns all chunks of an answer in order.
func Split(data []byte) []*v1.Chunk {
	chunks := make([]*v1.Chunk, 0, ChunkCount(len(data)))
	for n := range ChunkCount(len(data)) {
		chunks = append(chunks, ChunkAt(data, n))
	}
	return chunks
}

// Assembler reassembles one answer from chunks that arrive in any order. The zero
// value is ready to use.
type Assembler struct {
	// MaxBytes is the maximum size of the whole answer; 0 means MaxTaskAnswer.
	MaxBytes uint64

	first        *v1.Chunk
	dataByNumber map[uint32][]byte
}

// Add stores a chunk and ignores a duplicate. It returns ErrChunkMismatch for a
// chunk of another answer, so that chunks of two answers are never combined.
func (a *Assembler) Add(c *v1.Chunk) error {
	maxBytes := a.MaxBytes
	if maxBytes == 0 {
		maxBytes = MaxTaskAnswer
	}
	if c.GetCount() == 0 || uint64(c.GetCount()) > maxBytes/minMeanChunk+1 || c.GetNumber() >= c.GetCount() || c.GetTotal() > maxBytes {
		return errors.Wrap(ErrChunkMismatch, "chunk number, chunk count or total length out of bounds")
	}
	if a.first == nil {
		a.first, a.dataByNumber = c, map[uint32][]byte{}
	}
	first := a.first
	if c.GetCount() != first.GetCount() || c.GetTotal() != first.GetTotal() || c.GetSum() != first.GetSum() {
		return ErrChunkMismatch
	}
	if _, ok := a.dataByNumber[c.GetNumber()]; !ok {
		a.dataByNumber[c.GetNumber()] = c.GetData()
	}
	return nil
}

// NextMissing returns the lowest number of a missing chunk, or false when all
// chunks are present.
func (a *Assembler) NextMissing() (uint32, bool) {
	if a.first == nil {
		return 0, true
	}
	for n := range a.first.GetCount() {
		if _, ok := a.dataByNumber[n]; !ok {
			return n, true
		}
	}
	return 0, false
}

// Assemble returns the answer when all chunks are present and its length and
// checksum match. It returns false while chunks are missing, and
// ErrChunkMismatch when the length or the checksum differs.
func (a *Assembler) Assemble() ([]byte, bool, error) {
	if a.first == nil || uint32(len(a.dataByNumber)) < a.first.GetCount() {
		return nil, false, nil
	}
	data := make([]byte, 0, a.first.GetTotal())
	for n := range a.first.GetCount() {
		data = append(data, a.dataByNumber[n]...)
	}
	if uint64(len(data)) != a.first.GetTotal() || xxhash.Sum64(data) != a.first.GetSum() {
		return nil, false, errors.Wrap(ErrChunkMismatch, "length or checksum differs")
	}
	return data, true, nil
}

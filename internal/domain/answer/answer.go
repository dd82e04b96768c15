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
	// MaxTotal bounds a task's whole answer.
	MaxTotal = 1 << 20
	// MaxJob bounds a job's whole answer, the sum over its tasks.
	MaxJob = 32 << 20
	// minChunk is the mean size of chunks below which an answer is refused: a
	// sender that cuts finer would cost more in numbers than in data.
	minChunk = 1024
)

// ErrMixed is returned for a chunk that belongs to another answer, or is damaged.
var ErrMixed = errors.New("chunk of another answer")

// Count returns the number of chunks of an answer; an empty one has one.
func Count(total int) uint32 {
	return uint32(max(1, (total+ChunkSize-1)/ChunkSize))
}

// Cut returns one chunk of an answer; nil when there is none of that number.
func Cut(data []byte, number uint32) *v1.Chunk {
	count := Count(len(data))
	if number >= count {
		return nil
	}
	from := int(number) * ChunkSize
	to := min(from+ChunkSize, len(data))
	return &v1.Chunk{Number: number, Count: count, Total: uint64(len(data)), Sum: xxhash.Sum64(data), Data: data[from:to]}
}

// Head is what every chunk of an answer tells of the whole.
type Head struct {
	// Total is the length in bytes, Sum the checksum of all of it.
	Total int
	Sum   uint64
}

// NewHead returns the head of an answer that comes in pieces.
func NewHead(pieces iter.Seq[[]byte]) Head {
	var h Head
	sum := xxhash.New()
	for p := range pieces {
		_, _ = sum.Write(p)
		h.Total += len(p)
	}
	h.Sum = sum.Sum64()
	return h
}

// Cut returns one chunk of the answer that the pieces make; nil when there is
// none of that number. Only the bytes of the chunk are copied.
func (h Head) Cut(pieces iter.Seq[[]byte], number uint32) *v1.Chunk {
	count := Count(h.Total)
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
	out := make([]*v1.Chunk, 0, Count(len(data)))
	for n := range Count(len(data)) {
		out = append(out, Cut(data, n))
	}
	return out
}

// Parts collects the chunks of one answer in any order. The zero value is empty.
type Parts struct {
	// Most bounds the whole answer in bytes; MaxTotal when 0.
	Most uint64

	head *v1.Chunk
	data map[uint32][]byte
}

// Add takes a chunk; one that came before is dropped. It returns ErrMixed for a
// chunk of another answer: parts of two answers never make one.
func (p *Parts) Add(c *v1.Chunk) error {
	most := p.Most
	if most == 0 {
		most = MaxTotal
	}
	if c.GetCount() == 0 || uint64(c.GetCount()) > most/minChunk+1 || c.GetNumber() >= c.GetCount() || c.GetTotal() > most {
		return errors.Wrap(ErrMixed, "numbers out of bounds")
	}
	if p.head == nil {
		p.head, p.data = c, map[uint32][]byte{}
	}
	h := p.head
	if c.GetCount() != h.GetCount() || c.GetTotal() != h.GetTotal() || c.GetSum() != h.GetSum() {
		return ErrMixed
	}
	if _, ok := p.data[c.GetNumber()]; !ok {
		p.data[c.GetNumber()] = c.GetData()
	}
	return nil
}

// Next returns the number of the first missing chunk; false when none is.
func (p *Parts) Next() (uint32, bool) {
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

// Whole returns the answer once every chunk is there and length and sum agree;
// false while chunks are missing, ErrMixed when what came does not add up.
func (p *Parts) Whole() ([]byte, bool, error) {
	if p.head == nil || uint32(len(p.data)) < p.head.GetCount() {
		return nil, false, nil
	}
	data := make([]byte, 0, p.head.GetTotal())
	for n := range p.head.GetCount() {
		data = append(data, p.data[n]...)
	}
	if uint64(len(data)) != p.head.GetTotal() || xxhash.Sum64(data) != p.head.GetSum() {
		return nil, false, errors.Wrap(ErrMixed, "length or sum differs")
	}
	return data, true, nil
}

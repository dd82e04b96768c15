// Package answer puts the chunks of a job's answer together. Chunks may come
// late, twice and in any order; the answer is whole or it is not there.
package answer

import (
	"github.com/cespare/xxhash/v2"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
)

// MaxChunks bounds the chunks of one answer.
const MaxChunks = 1 << 16

// Answer collects chunks. The zero value is empty and ready.
type Answer struct {
	chunks [][]byte
	have   []bool
	missed int
	total  uint64
	sum    uint64
	begun  bool
}

// Add takes a chunk. A chunk that doesn't belong to the others is refused and
// leaves the answer as it was.
func (a *Answer) Add(c *v1.Chunk) error {
	switch {
	case c == nil:
		return code.New(code.Internal, "an answer without a chunk")
	case c.GetCount() == 0 || c.GetCount() > MaxChunks || c.GetNumber() >= c.GetCount():
		return code.New(code.Internal, "chunk %d of %d", c.GetNumber(), c.GetCount())
	case a.begun && (int(c.GetCount()) != len(a.chunks) || c.GetTotal() != a.total || c.GetSum() != a.sum):
		return code.New(code.Internal, "chunk %d is of another answer", c.GetNumber())
	}
	if !a.begun {
		a.begin(c)
	}
	n := c.GetNumber()
	if !a.have[n] {
		a.chunks[n], a.have[n] = c.GetData(), true
		a.missed--
	}
	return nil
}

func (a *Answer) begin(c *v1.Chunk) {
	n := int(c.GetCount())
	a.chunks, a.have, a.missed = make([][]byte, n), make([]bool, n), n
	a.total, a.sum, a.begun = c.GetTotal(), c.GetSum(), true
}

// Next returns the number of the first missing chunk; false when none is.
func (a *Answer) Next() (uint32, bool) {
	if !a.begun {
		return 0, true
	}
	for i, have := range a.have {
		if !have {
			return uint32(i), true
		}
	}
	return 0, false
}

// Bytes returns the whole answer. It guards against a chunk that was damaged or
// cut on its way: length and checksum of the whole must be what every chunk
// said, else there is no answer at all.
func (a *Answer) Bytes() ([]byte, error) {
	if !a.begun || a.missed > 0 {
		return nil, code.New(code.Internal, "%d chunks of the answer are missing", a.missed)
	}
	var out []byte
	for _, c := range a.chunks {
		out = append(out, c...)
	}
	if uint64(len(out)) != a.total {
		return nil, code.New(code.Internal, "the answer has %d bytes of %d", len(out), a.total)
	}
	if sum := xxhash.Sum64(out); sum != a.sum {
		return nil, code.New(code.Internal, "the answer's checksum is %x, not %x", sum, a.sum)
	}
	return out, nil
}

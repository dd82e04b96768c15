package caller

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
)

const (
	// MaxChunk bounds the data of one chunk in bytes.
	MaxChunk = 256 << 10
	// MaxAnswer bounds a whole answer in bytes.
	MaxAnswer = 256 << 20
	// maxChunks is the number of chunks that the longest answer may have.
	maxChunks = MaxAnswer / 1024
)

// Split cuts an answer into numbered chunks of up to n bytes; an empty answer has one.
func Split(data []byte, n int) []*v1.Chunk {
	count := max(1, (len(data)+n-1)/n)
	sum := xxhash.Sum64(data)
	out := make([]*v1.Chunk, count)
	for i := range out {
		piece := data[min(i*n, len(data)):min((i+1)*n, len(data))]
		out[i] = &v1.Chunk{Number: uint32(i), Count: uint32(count), Total: uint64(len(data)), Sum: sum, Data: piece}
	}
	return out
}

// CheckChunk returns a *code.Error when the chunk cannot be a part of any answer.
func CheckChunk(c *v1.Chunk) error {
	switch {
	case c.GetCount() == 0 || c.GetCount() > maxChunks || c.GetNumber() >= c.GetCount():
		return code.New(code.Malformed, "chunk %d of %d", c.GetNumber(), c.GetCount())
	case c.GetTotal() > MaxAnswer || len(c.GetData()) > MaxChunk:
		return code.New(code.TooLarge, "chunk of %d bytes, answer of %d", len(c.GetData()), c.GetTotal())
	case uint64(len(c.GetData())) > c.GetTotal():
		return code.New(code.Malformed, "the chunk is longer than the answer")
	}
	return nil
}

// Answer collects the chunks of one answer in whatever order they come.
type Answer struct {
	head   *v1.Chunk
	pieces map[uint32][]byte
}

// Add takes a chunk in. A duplicate changes nothing; a chunk of another answer is an error.
func (a *Answer) Add(c *v1.Chunk) error {
	if err := CheckChunk(c); err != nil {
		return err
	}
	if a.head == nil {
		a.head, a.pieces = c, make(map[uint32][]byte)
	}
	if c.GetCount() != a.head.GetCount() || c.GetTotal() != a.head.GetTotal() || c.GetSum() != a.head.GetSum() {
		return code.New(code.Malformed, "chunk %d belongs to another answer", c.GetNumber())
	}
	if _, ok := a.pieces[c.GetNumber()]; !ok {
		a.pieces[c.GetNumber()] = c.GetData()
	}
	return nil
}

// Missing returns the lowest number not seen yet, and false when there is none.
func (a *Answer) Missing() (uint32, bool) {
	if a.head == nil {
		return 0, true
	}
	for n := range a.head.GetCount() {
		if _, ok := a.pieces[n]; !ok {
			return n, true
		}
	}
	return 0, false
}

// Bytes returns the whole answer, or an error when it is incomplete or its
// length or checksum is wrong: an answer is whole or absent.
func (a *Answer) Bytes() ([]byte, error) {
	if n, missing := a.Missing(); missing {
		return nil, code.New(code.Unanswered, "chunk %d is missing", n)
	}
	parts := make([][]byte, len(a.pieces))
	for n, p := range a.pieces {
		parts[n] = p
	}
	data := slices.Concat(parts...)
	if uint64(len(data)) != a.head.GetTotal() || xxhash.Sum64(data) != a.head.GetSum() {
		return nil, code.New(code.Internal, "the answer's length or checksum is wrong")
	}
	return data, nil
}

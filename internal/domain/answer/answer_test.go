package answer_test

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"gypsumreel/internal/domain/answer"
	_ "gypsumreel/internal/fake/seed"
)

// Chunks arrive twice and in any order, and the answer is whole all the same.
func TestChunksInAnyOrderGiveTheWholeAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 3*answer.ChunkSize+7).Draw(t, "size")
		data := bytes.Repeat([]byte("cabinet"), size/7+1)[:size]
		chunks := answer.Split(data)
		order := rapid.Permutation(append(chunks, chunks...)).Draw(t, "order")
		var p answer.Assembler
		for _, c := range order {
			if err := p.Add(c); err != nil {
				t.Fatal(err)
			}
		}
		got, ok, err := p.Assemble()
		if !ok || err != nil {
			t.Fatalf("not whole: %v", err)
		}
		if !bytes.Equal(got, data) {
			t.Fatal("another answer")
		}
	})
}

// A caller is shown another job's data: a late chunk of one answer arrives
// while another is put together. Numbers and length may even agree; the sum of
// the whole does not.
func TestChunksOfTwoAnswersNeverMix(t *testing.T) {
	one := answer.Split(bytes.Repeat([]byte("a"), answer.ChunkSize+1))
	two := answer.Split(bytes.Repeat([]byte("b"), answer.ChunkSize+1))
	var p answer.Assembler
	if err := p.Add(one[0]); err != nil {
		t.Fatal(err)
	}
	if err := p.Add(two[1]); err == nil {
		t.Error("a chunk of another answer was taken")
	}
	if _, ok, _ := p.Assemble(); ok {
		t.Error("half an answer passes for a whole one")
	}
}

func TestDamageShows(t *testing.T) {
	chunks := answer.Split([]byte("resonance"))
	chunks[0].Data = []byte("resonanbe")
	var p answer.Assembler
	if err := p.Add(chunks[0]); err != nil {
		t.Fatal(err)
	}
	_, ok, err := p.Assemble()
	if diff := cmp.Diff(false, ok); diff != "" || err == nil {
		t.Errorf("a damaged answer passes: %v", err)
	}
}

package answer_test

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"gypsumreel/internal/domain/answer"
	_ "gypsumreel/internal/fake/seed"
)

// Chunks may arrive twice and in any order. The assembled answer must equal the
// original.
func TestChunksInAnyOrderGiveTheWholeAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 3*answer.ChunkSize+7).Draw(t, "size")
		data := bytes.Repeat([]byte("cabinet"), size/7+1)[:size]
		chunks := answer.Split(data)
		order := rapid.Permutation(append(chunks, chunks...)).Draw(t, "order")
		var assembler answer.Assembler
		for _, c := range order {
			if err := assembler.Add(c); err != nil {
				t.Fatal(err)
			}
		}
		got, ok, err := assembler.Assemble()
		if !ok || err != nil {
			t.Fatalf("the answer was not assembled: %v", err)
		}
		if !bytes.Equal(got, data) {
			t.Fatal("assembled data differs from the original")
		}
	})
}

// Guards against showing a caller another job's data when a late chunk of one
// answer arrives while another is assembled. Chunk numbers and total length may
// agree, but the checksums differ.
func TestChunksOfTwoAnswersNeverMix(t *testing.T) {
	first := answer.Split(bytes.Repeat([]byte("a"), answer.ChunkSize+1))
	second := answer.Split(bytes.Repeat([]byte("b"), answer.ChunkSize+1))
	var assembler answer.Assembler
	if err := assembler.Add(first[0]); err != nil {
		t.Fatal(err)
	}
	if err := assembler.Add(second[1]); err == nil {
		t.Error("a chunk of another answer was accepted")
	}
	if _, ok, _ := assembler.Assemble(); ok {
		t.Error("an incomplete answer was returned as complete")
	}
}

func TestDamagedAnswerIsRejected(t *testing.T) {
	chunks := answer.Split([]byte("resonance"))
	chunks[0].Data = []byte("resonanbe")
	var assembler answer.Assembler
	if err := assembler.Add(chunks[0]); err != nil {
		t.Fatal(err)
	}
	_, ok, err := assembler.Assemble()
	if diff := cmp.Diff(false, ok); diff != "" || err == nil {
		t.Errorf("a damaged answer was accepted: %v", err)
	}
}

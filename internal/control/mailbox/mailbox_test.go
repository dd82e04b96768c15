package mailbox_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/api/inner"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/control/mailbox"
)

// fetch returns the numbers of the items that a fetch brings at once.
func fetch(m *mailbox.Mailbox, epoch, ack uint64) (first uint64, seqs []uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b := m.Pull(ctx, epoch, ack)
	for _, r := range b.Replies {
		seqs = append(seqs, r.GetSeq())
	}
	return b.FirstNumber, seqs
}

// The connection breaks under the answer to a fetch. The replies in it come
// again, until they are acknowledged; an acknowledgement that was meant for the
// mailbox of an earlier leader drops none of them.
func TestALostFetchLosesNothing(t *testing.T) {
	m := mailbox.New(7)
	for i := range uint64(3) {
		m.Put(&inner.Reply{Seq: 10 + i})
	}
	for _, c := range []struct {
		epoch, ack, first uint64
		want              []uint64
	}{
		{7, 0, 1, []uint64{10, 11, 12}},
		{7, 0, 1, []uint64{10, 11, 12}},
		{6, 3, 1, []uint64{10, 11, 12}},
		{7, 2, 3, []uint64{12}},
		{7, 1, 3, []uint64{12}},
		{7, 99, 4, nil},
	} {
		first, got := fetch(m, c.epoch, c.ack)
		if diff := cmp.Diff(c.want, got); diff != "" || first != c.first {
			t.Errorf("epoch %d ack %d: first %d: %s", c.epoch, c.ack, first, diff)
		}
	}
}

// An entry stands still while callers fetch large answers through it. What is
// kept for it is bounded in bytes, or the leader would run out of memory; when
// it has fetched, there is room again.
func TestAStalledEntryIsBounded(t *testing.T) {
	m := mailbox.New(1)
	chunk := &v1.Chunk{Data: make([]byte, 1<<20)}
	put := func() {
		m.Put(&inner.Reply{Answer: &inner.Reply_Wait{Wait: &v1.WaitReply{Chunk: chunk}}})
	}
	for range 100 {
		put()
	}
	full := m.Len()
	if full < 60 || full > 64 {
		t.Errorf("%d MiB are kept", full)
	}
	_, got := fetch(m, 1, 0)
	if len(got) == 0 || len(got) > 8 {
		t.Errorf("one fetch brings %d MiB", len(got))
	}
	fetch(m, 1, uint64(len(got)))
	for range 100 {
		put()
	}
	if m.Len() != full {
		t.Errorf("%d MiB are kept after a fetch, %d before", m.Len(), full)
	}
}

func TestAFetchWaitsAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := mailbox.New(1)
		begin := time.Now()
		time.AfterFunc(time.Second, func() { m.Put(&inner.Reply{Seq: 5}) })
		if b := m.Pull(t.Context(), 1, 0); len(b.Replies) != 1 || time.Since(begin) != time.Second {
			t.Errorf("%v after %v", b, time.Since(begin))
		}
		time.AfterFunc(time.Second, m.Close)
		if b := m.Pull(t.Context(), 1, 1); !b.Closed || time.Since(begin) != 2*time.Second {
			t.Errorf("%v after %v", b, time.Since(begin))
		}
	})
}

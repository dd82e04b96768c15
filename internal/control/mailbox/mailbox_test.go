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

// pullNow pulls without waiting. It returns the number of the first reply and the
// item numbers of all replies.
func pullNow(m *mailbox.Mailbox, epoch, ack uint64) (first uint64, seqs []uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b := m.Pull(ctx, epoch, ack)
	for _, r := range b.Replies {
		seqs = append(seqs, r.GetSeq())
	}
	return b.FirstNumber, seqs
}

// Guards against replies lost with a broken connection. Replies must be returned
// again until they are acknowledged, and an acknowledgement for an earlier leader's
// mailbox must not discard any.
func TestLostPullReplyLosesNoReplies(t *testing.T) {
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
		first, got := pullNow(m, c.epoch, c.ack)
		if diff := cmp.Diff(c.want, got); diff != "" || first != c.first {
			t.Errorf("epoch %d, ack %d: got first number %d, want %d; replies: %s", c.epoch, c.ack, first, c.first, diff)
		}
	}
}

// Guards against a leader that runs out of memory. An entry stops pulling while
// callers fetch large answers through it. The bytes stored for it must be limited,
// and there must be room again once it has pulled.
func TestMailboxOfStalledEntryIsBounded(t *testing.T) {
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
		t.Errorf("the mailbox holds %d MiB, want 60 to 64", full)
	}
	_, got := pullNow(m, 1, 0)
	if len(got) == 0 || len(got) > 8 {
		t.Errorf("one Pull returned %d MiB, want 1 to 8", len(got))
	}
	pullNow(m, 1, uint64(len(got)))
	for range 100 {
		put()
	}
	if m.Len() != full {
		t.Errorf("the mailbox holds %d MiB after a Pull and %d MiB before", m.Len(), full)
	}
}

func TestPullWaitsForReplyOrClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := mailbox.New(1)
		begin := time.Now()
		time.AfterFunc(time.Second, func() { m.Put(&inner.Reply{Seq: 5}) })
		if b := m.Pull(t.Context(), 1, 0); len(b.Replies) != 1 || time.Since(begin) != time.Second {
			t.Errorf("Pull returned %v after %v, want one reply after 1 s", b, time.Since(begin))
		}
		time.AfterFunc(time.Second, m.Close)
		if b := m.Pull(t.Context(), 1, 1); !b.Closed || time.Since(begin) != 2*time.Second {
			t.Errorf("Pull returned %v after %v, want a closed batch after 2 s", b, time.Since(begin))
		}
	})
}

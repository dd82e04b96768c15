package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"gypsumreel/internal/api/inner"
	"gypsumreel/internal/base/code"
)

const (
	// overdueAfter is how long a reply may take, beyond the item's patience, before the item is sent again.
	overdueAfter = time.Second
	// answerMargin is kept back from the budget, so that the leader answers before the asker gives up.
	answerMargin = 50 * time.Millisecond
	// batchBytes bounds the size of one Push.
	batchBytes = 2 << 20
)

// outcome is what an asker gets.
type outcome struct {
	reply *inner.Reply
	err   error
}

// call is one item that waits for its reply.
type call struct {
	item   *inner.Item
	result chan outcome
	added  time.Time
	// until is when the asker gives up; zero when it set no bound.
	until time.Time
	// queued is true while the item waits to be pushed.
	queued bool
	// exposed is true once the item was handed to a Push that may have reached a leader.
	exposed bool
	// overdue is when the item is sent again.
	overdue time.Time
}

// book holds the items that wait, and the order in which they are pushed.
type book struct {
	limit int
	// wake has a token when the queue may not be empty.
	wake chan struct{}

	mu  sync.Mutex
	seq uint64
	// leaving is true once long polls are refused because the entry stops.
	leaving bool
	calls   map[uint64]*call
	queue   []*call
}

func newBook(limit int) *book {
	return &book{limit: limit, wake: make(chan struct{}, 1), calls: make(map[uint64]*call)}
}

func (b *book) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.calls)
}

func (b *book) add(ctx context.Context, item *inner.Item) (*call, error) {
	c := &call{item: item, result: make(chan outcome, 1), added: time.Now()}
	c.until, _ = ctx.Deadline()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving && patience(item) > 0 {
		return nil, code.New(code.ShuttingDown, "")
	}
	if len(b.calls) >= b.limit {
		return nil, code.New(code.Overloaded, "%d requests wait at this entry", len(b.calls))
	}
	b.seq++
	item.Seq = b.seq
	b.calls[b.seq] = c
	b.enqueue(c)
	return c, nil
}

// enqueue puts the call at the end of the queue. The caller holds mu.
func (b *book) enqueue(c *call) {
	if c.queued {
		return
	}
	c.queued = true
	b.queue = append(b.queue, c)
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *book) waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)
}

// take removes up to n items from the queue. From here on each of them counts
// as one that a leader may have seen.
func (b *book) take(n int) []*call {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch []*call
	taken, bytes := 0, 0
	for _, c := range b.queue {
		if len(batch) == n || bytes > batchBytes {
			break
		}
		taken++
		c.queued = false
		if b.calls[c.item.Seq] != c {
			continue // answered or given up meanwhile
		}
		bytes += proto.Size(c.item)
		batch = append(batch, c)
		c.overdue = now.Add(patience(c.item) + overdueAfter)
	}
	clear(b.queue[:taken])
	b.queue = b.queue[taken:]
	return batch
}

// expose marks the batch as handed over and returns its items with what is left of their budgets,
// and the calls that had not been handed over before.
func (b *book) expose(batch []*call) (items []*inner.Item, fresh []*call) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range batch {
		item := &inner.Item{Seq: c.item.Seq, Credential: c.item.Credential, Ask: c.item.Ask}
		if !c.until.IsZero() {
			item.Budget = uint64(max(c.until.Sub(now)-answerMargin, time.Millisecond).Milliseconds())
		}
		if !c.exposed {
			c.exposed = true
			fresh = append(fresh, c)
		}
		items = append(items, item)
	}
	return items, fresh
}

// conceal takes back the mark of calls whose only Push was answered as not looked at.
func (b *book) conceal(calls []*call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range calls {
		c.exposed = false
	}
}

// requeue puts calls that still wait back into the queue.
func (b *book) requeue(calls []*call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range calls {
		if b.calls[c.item.Seq] == c {
			b.enqueue(c)
		}
	}
}

// requeueAll puts everything that waits into the queue, in the order it came.
func (b *book) requeueAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, seq := range slices.Sorted(maps.Keys(b.calls)) {
		b.enqueue(b.calls[seq])
	}
}

// requeueOverdue sends again what was pushed but not answered in time, within
// the retry budget. The Push or the reply was lost, or the leader lost its queue.
func (b *book) requeueOverdue(now time.Time, budget *rate.Limiter) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, c := range b.calls {
		if c.queued || !c.exposed || now.Before(c.overdue) {
			continue
		}
		if !budget.Allow() {
			return n
		}
		b.enqueue(c)
		n++
	}
	return n
}

// failUnsent refuses items that were added before the time given and never handed over.
func (b *book) failUnsent(before time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.calls {
		if !c.exposed && c.added.Before(before) {
			b.finish(c, outcome{err: b.verdict(c, "no leader was found")})
		}
	}
}

// failStale ends every wait that was begun before the time given, for want of a leader.
func (b *book) failStale(before time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, c := range b.calls {
		if c.added.Before(before) {
			b.finish(c, outcome{err: b.verdict(c, "the leader is out of contact")})
			n++
		}
	}
	return n
}

// endPolls answers everything that the leader may hold for a while, and refuses such items from now on.
func (b *book) endPolls() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
	for _, c := range b.calls {
		if patience(c.item) > 0 {
			b.finish(c, outcome{err: code.New(code.ShuttingDown, "")})
		}
	}
}

// deliver gives a reply to whoever waits for it. A late or second reply finds
// nobody and is dropped: each seq is answered once.
func (b *book) deliver(r *inner.Reply) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.calls[r.GetSeq()]
	if !ok {
		return false
	}
	b.finish(c, outcome{reply: r})
	return true
}

// refuse ends the waits for items that the leader had no room for, if it never saw them before.
func (b *book) refuse(calls []*call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range calls {
		if b.calls[c.item.Seq] == c {
			b.finish(c, outcome{err: code.New(code.Overloaded, "the leader's queue is full")})
		}
	}
}

// finish ends a wait. The caller holds mu.
func (b *book) finish(c *call, o outcome) {
	delete(b.calls, c.item.Seq)
	c.result <- o
}

// abandon ends a wait from the asker's side.
func (b *book) abandon(c *call, why string) (*inner.Reply, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.calls[c.item.Seq] != c {
		o := <-c.result
		return o.reply, o.err
	}
	delete(b.calls, c.item.Seq)
	return nil, b.verdict(c, why)
}

// verdict says what is true of an item without a reply: it did not reach a
// leader only if no Push ever carried it. The caller holds mu.
func (b *book) verdict(c *call, why string) error {
	if c.exposed {
		return code.New(code.LeaderTimeout, "%s", why)
	}
	return code.New(code.ControlUnreachable, "%s", why)
}

// patience returns how long the leader may hold the item before it answers.
func patience(item *inner.Item) time.Duration {
	switch ask := item.GetAsk().(type) {
	case *inner.Item_Wait:
		return time.Duration(ask.Wait.GetPatience()) * time.Millisecond
	case *inner.Item_Sync:
		return time.Duration(ask.Sync.GetPatience()) * time.Millisecond
	}
	return 0
}

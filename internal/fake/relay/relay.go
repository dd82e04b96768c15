// Package relay is a TCP relay that misbehaves on order: it goes silent one way
// or both, forgets open connections while new ones work, holds bytes back,
// delays, cuts and duplicates. Tests put it between any two processes.
package relay

import (
	"context"
	"net"
	"sync"
	"time"
)

// Way is a direction through the relay.
type Way uint8

// The two directions.
const (
	// Up is from whoever dialled to the target.
	Up Way = iota
	// Down is from the target back.
	Down
)

// Fate is what becomes of bytes.
type Fate uint8

// The fates.
const (
	// Pass carries bytes.
	Pass Fate = iota
	// Hold keeps bytes back until the fate is Pass again: an answer comes late.
	Hold
	// Lose drops bytes. A connection that lost some stays silent that way for
	// good, as one does whose packets are no longer forwarded.
	Lose
)

// pieceSize is the most that is read at once in bytes.
const pieceSize = 8 << 10

// queueLength bounds the pieces on the way in each direction of a connection.
const queueLength = 256

// Relay carries connections from Listener to a target. Set the fields, then call Run.
type Relay struct {
	Listener net.Listener
	// Dial opens the connection to the target.
	Dial func(ctx context.Context) (net.Conn, error)
	// Sleep waits for a delay; nil for a timer, which may be a millisecond late.
	Sleep func(time.Duration)

	mu    sync.Mutex
	fates [2]Fate
	delay [2]time.Duration
	// changed is closed and replaced whenever a fate changes.
	changed chan struct{}
	refuse  bool
	double  bool
	pairs   map[*pair]struct{}
	carried [2]int64
	opened  int
	done    chan struct{}
	once    sync.Once
}

// pair is one connection through the relay.
type pair struct {
	relay      *Relay
	near, far  net.Conn
	shadow     net.Conn
	forgotten  [2]bool
	ended      chan struct{}
	endingOnce sync.Once
}

func (r *Relay) init() {
	r.once.Do(func() {
		r.changed = make(chan struct{})
		r.pairs = make(map[*pair]struct{})
		r.done = make(chan struct{})
	})
}

// Done is closed when Run has returned.
func (r *Relay) Done() <-chan struct{} { r.init(); return r.done }

// Run relays until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	r.init()
	defer close(r.done)
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, func() {
		_ = r.Listener.Close()
		r.Cut()
	})
	defer stop()
	defer r.Cut()
	for {
		near, err := r.Listener.Accept()
		if err != nil {
			return err
		}
		wg.Go(func() { r.carry(ctx, near) })
	}
}

// Set gives all connections, open and new, a fate in one direction.
func (r *Relay) Set(w Way, f Fate) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fates[w] = f
	r.wake()
}

// Forget makes the open connections silent for good in the directions given; new ones work.
func (r *Relay) Forget(ways ...Way) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		for _, w := range ways {
			p.forgotten[w] = true
		}
	}
	r.wake()
}

// Delay holds every byte for the time given in one direction.
func (r *Relay) Delay(w Way, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay[w] = d
}

// Refuse closes new connections at once, or no longer.
func (r *Relay) Refuse(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = on
}

// Duplicate sends what goes up on new connections to the target a second time,
// over a connection whose answers nobody reads.
func (r *Relay) Duplicate(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.double = on
}

// Cut closes the open connections.
func (r *Relay) Cut() {
	r.init()
	r.mu.Lock()
	var open []*pair
	for p := range r.pairs {
		open = append(open, p)
	}
	r.mu.Unlock()
	for _, p := range open {
		p.end()
	}
}

// Carried returns the bytes passed on in one direction.
func (r *Relay) Carried(w Way) int64 { r.mu.Lock(); defer r.mu.Unlock(); return r.carried[w] }

// Open returns the connections open now, Opened all that there ever were.
func (r *Relay) Open() int { r.mu.Lock(); defer r.mu.Unlock(); return len(r.pairs) }

// Opened returns the number of connections that there ever were.
func (r *Relay) Opened() int { r.mu.Lock(); defer r.mu.Unlock(); return r.opened }

// wake lets held pieces look at their fate again. The caller holds mu.
func (r *Relay) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Relay) carry(ctx context.Context, near net.Conn) {
	r.mu.Lock()
	refuse, double := r.refuse, r.double
	r.mu.Unlock()
	if refuse {
		_ = near.Close()
		return
	}
	far, err := r.Dial(ctx)
	if err != nil {
		_ = near.Close()
		return
	}
	p := &pair{relay: r, near: near, far: far, ended: make(chan struct{})}
	var wg sync.WaitGroup
	if double {
		if p.shadow, err = r.Dial(ctx); err == nil {
			wg.Go(func() { discard(p.shadow) })
		} else {
			p.shadow = nil
		}
	}
	r.mu.Lock()
	r.pairs[p] = struct{}{}
	r.opened++
	r.mu.Unlock()
	if ctx.Err() != nil {
		p.end()
	}
	wg.Go(func() { p.pump(Up, near, far) })
	wg.Go(func() { p.pump(Down, far, near) })
	wg.Wait()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

func (p *pair) end() {
	p.endingOnce.Do(func() {
		close(p.ended)
		_ = p.near.Close()
		_ = p.far.Close()
		if p.shadow != nil {
			_ = p.shadow.Close()
		}
	})
}

// piece is what was read at once, and when.
type piece struct {
	data []byte
	at   time.Time
}

// pump carries one direction; reading goes on while pieces wait to be written.
func (p *pair) pump(w Way, from, to net.Conn) {
	pieces := make(chan piece, queueLength)
	var wg sync.WaitGroup
	wg.Go(func() { p.deliver(w, pieces, to) })
	buf := make([]byte, pieceSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			select {
			case pieces <- piece{append([]byte(nil), buf[:n]...), time.Now()}:
			case <-p.ended:
			}
		}
		if err != nil {
			break
		}
	}
	close(pieces)
	wg.Wait()
}

// deliver writes the pieces as their fate allows, then ends the pair. A
// direction that lost bytes tells nobody of the end either.
func (p *pair) deliver(w Way, pieces <-chan piece, to net.Conn) {
	lost := false
	for c := range pieces {
		if lost || !p.release(w, c.at) {
			lost = true
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			break
		}
		if w == Up && p.shadow != nil {
			_, _ = p.shadow.Write(c.data)
		}
		p.relay.mu.Lock()
		p.relay.carried[w] += int64(len(c.data))
		p.relay.mu.Unlock()
	}
	if lost || !p.release(w, time.Now()) {
		<-p.ended
	}
	p.end()
}

// release waits until a piece may go on and returns false when it is lost.
func (p *pair) release(w Way, at time.Time) bool {
	for {
		p.relay.mu.Lock()
		fate, changed, delay := p.relay.fates[w], p.relay.changed, p.relay.delay[w]
		if p.forgotten[w] {
			fate = Lose
		}
		p.relay.mu.Unlock()
		switch fate {
		case Lose:
			return false
		case Pass:
			p.wait(time.Until(at.Add(delay)))
			return true
		}
		select {
		case <-changed:
		case <-p.ended:
			return false
		}
	}
}

func (p *pair) wait(d time.Duration) {
	if d <= 0 {
		return
	}
	if p.relay.Sleep != nil {
		p.relay.Sleep(d)
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.ended:
	}
}

func discard(c net.Conn) {
	buf := make([]byte, pieceSize)
	for {
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}

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

// Direction is a direction through the relay.
type Direction uint8

// The two directions.
const (
	// Upstream is from whoever dialled to the target.
	Upstream Direction = iota
	// Downstream is from the target back.
	Downstream
)

// Mode is what becomes of bytes.
type Mode uint8

// The fates.
const (
	// Pass carries bytes.
	Pass Mode = iota
	// Hold keeps bytes back until the fate is Pass again: an answer comes late.
	Hold
	// Drop drops bytes. A connection that lost some stays silent that way for
	// good, as one does whose packets are no longer forwarded.
	Drop
)

// readBufferSize is the most that is read at once in bytes.
const readBufferSize = 8 << 10

// maxQueuedChunks bounds the pieces on the way in each direction of a connection.
const maxQueuedChunks = 256

// Relay carries connections from Listener to a target. Set the fields, then call Run.
type Relay struct {
	Listener net.Listener
	// Dial opens the connection to the target.
	Dial func(ctx context.Context) (net.Conn, error)
	// Sleep waits for a delay; nil for a timer, which may be a millisecond late.
	Sleep func(time.Duration)

	mu     sync.Mutex
	modes  [2]Mode
	delays [2]time.Duration
	// modeChanged is closed and replaced whenever a fate changes.
	modeChanged      chan struct{}
	refuseNew        bool
	duplicateNew     bool
	connections      map[*connection]struct{}
	forwardedBytes   [2]int64
	totalConnections int
	done             chan struct{}
	initOnce         sync.Once
}

// connection is one connection through the relay.
type connection struct {
	relay          *Relay
	client, target net.Conn
	duplicate      net.Conn
	blackholed     [2]bool
	closed         chan struct{}
	closeOnce      sync.Once
}

func (r *Relay) init() {
	r.initOnce.Do(func() {
		r.modeChanged = make(chan struct{})
		r.connections = make(map[*connection]struct{})
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
		r.CloseConnections()
	})
	defer stop()
	defer r.CloseConnections()
	for {
		client, err := r.Listener.Accept()
		if err != nil {
			return err
		}
		wg.Go(func() { r.handleConnection(ctx, client) })
	}
}

// SetMode gives all connections, open and new, a fate in one direction.
func (r *Relay) SetMode(dir Direction, mode Mode) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.modes[dir] = mode
	r.notifyModeChange()
}

// BlackholeOpen makes the open connections silent for good in the directions given; new ones work.
func (r *Relay) BlackholeOpen(dirs ...Direction) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		for _, dir := range dirs {
			c.blackholed[dir] = true
		}
	}
	r.notifyModeChange()
}

// SetDelay holds every byte for the time given in one direction.
func (r *Relay) SetDelay(dir Direction, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delays[dir] = d
}

// SetRefuse closes new connections at once, or no longer.
func (r *Relay) SetRefuse(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuseNew = on
}

// SetDuplicate sends what goes up on new connections to the target a second time,
// over a connection whose answers nobody reads.
func (r *Relay) SetDuplicate(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.duplicateNew = on
}

// CloseConnections closes the open connections.
func (r *Relay) CloseConnections() {
	r.init()
	r.mu.Lock()
	var open []*connection
	for c := range r.connections {
		open = append(open, c)
	}
	r.mu.Unlock()
	for _, c := range open {
		c.close()
	}
}

// ForwardedBytes returns the bytes passed on in one direction.
func (r *Relay) ForwardedBytes(dir Direction) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.forwardedBytes[dir]
}

// OpenConnections returns the connections open now, Opened all that there ever were.
func (r *Relay) OpenConnections() int { r.mu.Lock(); defer r.mu.Unlock(); return len(r.connections) }

// TotalConnections returns the number of connections that there ever were.
func (r *Relay) TotalConnections() int { r.mu.Lock(); defer r.mu.Unlock(); return r.totalConnections }

// notifyModeChange lets held pieces look at their fate again. The caller holds mu.
func (r *Relay) notifyModeChange() {
	close(r.modeChanged)
	r.modeChanged = make(chan struct{})
}

func (r *Relay) handleConnection(ctx context.Context, client net.Conn) {
	r.mu.Lock()
	refuse, duplicate := r.refuseNew, r.duplicateNew
	r.mu.Unlock()
	if refuse {
		_ = client.Close()
		return
	}
	target, err := r.Dial(ctx)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &connection{relay: r, client: client, target: target, closed: make(chan struct{})}
	var wg sync.WaitGroup
	if duplicate {
		if c.duplicate, err = r.Dial(ctx); err == nil {
			wg.Go(func() { discard(c.duplicate) })
		} else {
			c.duplicate = nil
		}
	}
	r.mu.Lock()
	r.connections[c] = struct{}{}
	r.totalConnections++
	r.mu.Unlock()
	if ctx.Err() != nil {
		c.close()
	}
	wg.Go(func() { c.forward(Upstream, client, target) })
	wg.Go(func() { c.forward(Downstream, target, client) })
	wg.Wait()
	r.mu.Lock()
	delete(r.connections, c)
	r.mu.Unlock()
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.client.Close()
		_ = c.target.Close()
		if c.duplicate != nil {
			_ = c.duplicate.Close()
		}
	})
}

// chunk is what was read at once, and when.
type chunk struct {
	data   []byte
	readAt time.Time
}

// forward carries one direction; reading goes on while pieces wait to be written.
func (c *connection) forward(dir Direction, from, to net.Conn) {
	chunks := make(chan chunk, maxQueuedChunks)
	var wg sync.WaitGroup
	wg.Go(func() { c.writeChunks(dir, chunks, to) })
	buf := make([]byte, readBufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			select {
			case chunks <- chunk{append([]byte(nil), buf[:n]...), time.Now()}:
			case <-c.closed:
			}
		}
		if err != nil {
			break
		}
	}
	close(chunks)
	wg.Wait()
}

// writeChunks writes the pieces as their fate allows, then ends the pair. A
// direction that lost bytes tells nobody of the end either.
func (conn *connection) writeChunks(dir Direction, chunks <-chan chunk, to net.Conn) {
	dropped := false
	for chunk := range chunks {
		if dropped || !conn.awaitForward(dir, chunk.readAt) {
			dropped = true
			continue
		}
		if _, err := to.Write(chunk.data); err != nil {
			break
		}
		if dir == Upstream && conn.duplicate != nil {
			_, _ = conn.duplicate.Write(chunk.data)
		}
		conn.relay.mu.Lock()
		conn.relay.forwardedBytes[dir] += int64(len(chunk.data))
		conn.relay.mu.Unlock()
	}
	if dropped || !conn.awaitForward(dir, time.Now()) {
		<-conn.closed
	}
	conn.close()
}

// awaitForward waits until a piece may go on and returns false when it is lost.
func (c *connection) awaitForward(dir Direction, readAt time.Time) bool {
	for {
		c.relay.mu.Lock()
		mode, modeChanged, delay := c.relay.modes[dir], c.relay.modeChanged, c.relay.delays[dir]
		if c.blackholed[dir] {
			mode = Drop
		}
		c.relay.mu.Unlock()
		switch mode {
		case Drop:
			return false
		case Pass:
			c.sleep(time.Until(readAt.Add(delay)))
			return true
		}
		select {
		case <-modeChanged:
		case <-c.closed:
			return false
		}
	}
}

func (c *connection) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	if c.relay.Sleep != nil {
		c.relay.Sleep(d)
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.closed:
	}
}

func discard(c net.Conn) {
	buf := make([]byte, readBufferSize)
	for {
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}

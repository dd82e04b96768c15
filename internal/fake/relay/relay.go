// Package relay is a TCP relay that injects network faults between two processes of
// a test. It drops traffic in one direction or both, blackholes open connections while
// new ones work, holds bytes back, delays and duplicates them, and closes connections.
package relay

import (
	"context"
	"net"
	"sync"
	"time"
)

// Direction is the direction of traffic through the relay.
type Direction uint8

// The two directions.
const (
	// Upstream is from the client to the target.
	Upstream Direction = iota
	// Downstream is from the target to the client.
	Downstream
)

// Mode selects whether the relay forwards, holds or drops bytes.
type Mode uint8

// The modes.
const (
	// Pass forwards bytes.
	Pass Mode = iota
	// Hold buffers bytes until the mode is Pass again, so that a reply arrives late.
	Hold
	// Drop discards bytes. A connection that lost bytes delivers nothing more in that
	// direction, like a connection whose packets are no longer routed.
	Drop
)

// readBufferSize is the maximum size of one read in bytes.
const readBufferSize = 8 << 10

// maxQueuedChunks limits the chunks that are read but not yet written, per direction
// of a connection.
const maxQueuedChunks = 256

// Relay forwards connections from Listener to a target. The exported fields are set
// before Run.
type Relay struct {
	Listener net.Listener
	// Dial opens the connection to the target.
	Dial func(ctx context.Context) (net.Conn, error)
	// Sleep waits for a delay. If nil, a timer is used, which may fire a millisecond late.
	Sleep func(time.Duration)

	mu     sync.Mutex
	modes  [2]Mode
	delays [2]time.Duration
	// modeChanged is closed and replaced whenever a mode changes.
	modeChanged      chan struct{}
	refuseNew        bool
	duplicateNew     bool
	connections      map[*connection]struct{}
	forwardedBytes   [2]int64
	totalConnections int
	done             chan struct{}
	initOnce         sync.Once
}

// connection is a client connection and the matching connection to the target.
type connection struct {
	relay          *Relay
	client, target net.Conn
	// duplicate is a second connection to the target that receives the same bytes, or nil.
	duplicate  net.Conn
	blackholed [2]bool
	closed     chan struct{}
	closeOnce  sync.Once
}

func (r *Relay) init() {
	r.initOnce.Do(func() {
		r.modeChanged = make(chan struct{})
		r.connections = make(map[*connection]struct{})
		r.done = make(chan struct{})
	})
}

// Done returns a channel that is closed when Run has returned.
func (r *Relay) Done() <-chan struct{} { r.init(); return r.done }

// Run forwards connections until ctx is cancelled.
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

// SetMode sets the mode of all open and new connections in one direction.
func (r *Relay) SetMode(dir Direction, mode Mode) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.modes[dir] = mode
	r.notifyModeChange()
}

// BlackholeOpen drops all further bytes of the open connections in the given directions.
// New connections work.
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

// SetDelay delays all bytes in one direction by d.
func (r *Relay) SetDelay(dir Direction, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delays[dir] = d
}

// SetRefuse sets whether the relay closes each new connection immediately.
func (r *Relay) SetRefuse(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuseNew = on
}

// SetDuplicate sets whether the relay sends the upstream bytes of new connections to the
// target a second time, over a separate connection whose replies are discarded.
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

// ForwardedBytes returns the number of bytes forwarded in one direction.
func (r *Relay) ForwardedBytes(dir Direction) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.forwardedBytes[dir]
}

// OpenConnections returns the number of connections that are open now.
func (r *Relay) OpenConnections() int { r.mu.Lock(); defer r.mu.Unlock(); return len(r.connections) }

// TotalConnections returns the number of connections opened since the start.
func (r *Relay) TotalConnections() int { r.mu.Lock(); defer r.mu.Unlock(); return r.totalConnections }

// notifyModeChange wakes the goroutines that hold chunks back, so that they read the
// mode again. The caller holds mu.
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

// chunk holds the bytes of one read and the time of the read.
type chunk struct {
	data   []byte
	readAt time.Time
}

// forward copies one direction of a connection. Reading continues while chunks wait to
// be written.
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

// writeChunks writes the chunks as the mode allows and then closes the connection. If
// bytes were dropped, the end of the stream is not passed on either.
func (c *connection) writeChunks(dir Direction, chunks <-chan chunk, to net.Conn) {
	dropped := false
	for chunk := range chunks {
		if dropped || !c.awaitForward(dir, chunk.readAt) {
			dropped = true
			continue
		}
		if _, err := to.Write(chunk.data); err != nil {
			break
		}
		if dir == Upstream && c.duplicate != nil {
			_, _ = c.duplicate.Write(chunk.data)
		}
		c.relay.mu.Lock()
		c.relay.forwardedBytes[dir] += int64(len(chunk.data))
		c.relay.mu.Unlock()
	}
	if dropped || !c.awaitForward(dir, time.Now()) {
		<-c.closed
	}
	c.close()
}

// awaitForward blocks until a chunk may be written. It returns false if the chunk is
// dropped or the connection is closed.
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

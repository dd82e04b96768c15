package relay

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrRefused is what a dial of an address without a listener returns.
var ErrRefused = errors.New("connection refused")

// Memory is a network of in-memory connections, for tests on a virtual clock.
// The zero value is ready.
type Memory struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	dialled   map[string]int
}

// Listen returns the listener of an address, which must be free.
func (m *Memory) Listen(address string) net.Listener {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listeners == nil {
		m.listeners, m.dialled = make(map[string]*memoryListener), make(map[string]int)
	}
	l := &memoryListener{memory: m, address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	m.listeners[address] = l
	return l
}

// Dial connects to an address; network is ignored.
func (m *Memory) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	m.mu.Lock()
	l := m.listeners[address]
	m.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: network, Addr: memoryAddr(address), Err: ErrRefused}
	if l == nil {
		return nil, refused
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		m.mu.Lock()
		defer m.mu.Unlock()
		m.dialled[address]++
		return near, nil
	case <-l.done:
		return nil, refused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: network, Addr: memoryAddr(address), Err: ctx.Err()}
	}
}

// Dialled returns the number of connections made to an address.
func (m *Memory) Dialled(address string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dialled[address]
}

// DialHost connects to the host of an address, whatever its port.
func (m *Memory) DialHost(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	return m.Dial(ctx, network, host)
}

// To returns a dial function for one address, as Relay takes it.
func (m *Memory) To(address string) func(ctx context.Context) (net.Conn, error) {
	return func(ctx context.Context) (net.Conn, error) { return m.Dial(ctx, "memory", address) }
}

type memoryListener struct {
	memory  *Memory
	address string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept returns the next connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close frees the address; dials are refused from now on.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.memory.mu.Lock()
		defer l.memory.mu.Unlock()
		if l.memory.listeners[l.address] == l {
			delete(l.memory.listeners, l.address)
		}
	})
	return nil
}

// Addr returns the listener's address.
func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }

type memoryAddr string

// Network returns "memory".
func (memoryAddr) Network() string { return "memory" }

// String returns the address.
func (a memoryAddr) String() string { return string(a) }

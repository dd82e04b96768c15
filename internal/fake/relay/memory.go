package relay

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrConnectionRefused is the error of a dial to an address without a listener.
var ErrConnectionRefused = errors.New("connection refused")

// MemoryNetwork is a network of in-memory connections for tests on a virtual clock.
// The zero value is ready to use.
type MemoryNetwork struct {
	mu         sync.Mutex
	listeners  map[string]*memoryListener
	dialCounts map[string]int
}

// Listen returns a listener on the address. No other listener may be open on it.
func (m *MemoryNetwork) Listen(address string) net.Listener {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listeners == nil {
		m.listeners, m.dialCounts = make(map[string]*memoryListener), make(map[string]int)
	}
	l := &memoryListener{network: m, address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	m.listeners[address] = l
	return l
}

// Dial connects to an address. The network name appears only in errors.
func (m *MemoryNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	m.mu.Lock()
	l := m.listeners[address]
	m.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: network, Addr: memoryAddr(address), Err: ErrConnectionRefused}
	if l == nil {
		return nil, refused
	}
	clientEnd, serverEnd := net.Pipe()
	select {
	case l.conns <- serverEnd:
		m.mu.Lock()
		defer m.mu.Unlock()
		m.dialCounts[address]++
		return clientEnd, nil
	case <-l.done:
		return nil, refused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: network, Addr: memoryAddr(address), Err: ctx.Err()}
	}
}

// DialCount returns the number of connections made to an address.
func (m *MemoryNetwork) DialCount(address string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dialCounts[address]
}

// DialHost connects to the listener named after the host of the address and ignores the port.
func (m *MemoryNetwork) DialHost(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	return m.Dial(ctx, network, host)
}

// DialerTo returns a dial function for one address, for the Dial field of Relay.
func (m *MemoryNetwork) DialerTo(address string) func(ctx context.Context) (net.Conn, error) {
	return func(ctx context.Context) (net.Conn, error) { return m.Dial(ctx, "memory", address) }
}

type memoryListener struct {
	network   *MemoryNetwork
	address   string
	conns     chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
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

// Close frees the address. Later dials to it are refused.
func (l *memoryListener) Close() error {
	l.closeOnce.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
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

package cell

import (
	"context"
	"net"
	"sync"
	"time"
)

// Loopback is the network of a cell on 127.0.0.1. The zero value is ready.
type Loopback struct {
	mu        sync.Mutex
	addresses map[string]string
	reserved  map[string]net.Listener
}

// Address returns the address of a name; its port is taken at the first call.
func (l *Loopback) Address(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.addresses[name]; ok {
		return a
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	if l.addresses == nil {
		l.addresses, l.reserved = map[string]string{}, map[string]net.Listener{}
	}
	a := ln.Addr().String()
	l.addresses[name], l.reserved[a] = a, ln
	return a
}

// Listen returns the listener of an address. After a restart the port may be
// busy for a moment.
func (l *Loopback) Listen(address string) (net.Listener, error) {
	l.mu.Lock()
	ln, ok := l.reserved[address]
	delete(l.reserved, address)
	l.mu.Unlock()
	if ok {
		return ln, nil
	}
	var err error
	for range 50 {
		if ln, err = net.Listen("tcp", address); err == nil {
			return ln, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, err
}

// Dialer returns nil: connections are opened over TCP as they are.
func (l *Loopback) Dialer(string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return nil
}

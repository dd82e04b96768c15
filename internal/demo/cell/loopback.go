package cell

import (
	"context"
	"net"
	"sync"
	"time"
)

// Loopback is a network on 127.0.0.1. The zero value is ready to use.
type Loopback struct {
	mu        sync.Mutex
	addresses map[string]string
	reserved  map[string]net.Listener
}

// Address returns the address of the named listener. The first call reserves a port.
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

// Listen returns a listener on the address. It retries, because the port may still be in
// use for a moment after a restart.
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

// Dialer returns nil, which selects TCP.
func (l *Loopback) Dialer(string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return nil
}

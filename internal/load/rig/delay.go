package rig

import (
	"context"
	"io"
	"net"
	"slices"
	"time"

	"gypsumreel/internal/fake/relay"
)

// MeasureDelay measures the one-way delay that a relay really adds. It returns the
// median and the 99th percentile of half the round-trip time of one byte, measured for
// the given duration.
func (r *Rig) MeasureDelay(ctx context.Context, delay, duration time.Duration) (median, p99 time.Duration, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = echo.Close() }()
	go func() {
		if c, err := echo.Accept(); err == nil {
			_, _ = io.Copy(c, c) // ends when the connection closes
		}
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, err
	}
	proxy := &relay.Relay{Listener: listener, Sleep: preciseSleep, Dial: func(ctx context.Context) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", echo.Addr().String())
	}}
	proxy.SetDelay(relay.Upstream, delay)
	proxy.SetDelay(relay.Downstream, delay)
	go func() { _ = proxy.Run(ctx) }() // fails only when ctx ends
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = c.Close() }()
	var delays []time.Duration
	buf := make([]byte, 1)
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		start := time.Now()
		if _, err := c.Write(buf); err != nil {
			return 0, 0, err
		}
		if _, err := io.ReadFull(c, buf); err != nil {
			return 0, 0, err
		}
		delays = append(delays, time.Since(start)/2)
		preciseSleep(echoInterval)
	}
	slices.Sort(delays)
	return delays[len(delays)/2], delays[len(delays)*99/100], nil
}

// echoInterval is the pause between two measured round trips.
const echoInterval = 20 * time.Millisecond

package rig

import (
	"context"
	"io"
	"net"
	"slices"
	"time"

	"gypsumreel/internal/fake/relay"
)

// MeasureDelay measures what the relays' delays really are: the median and the 99th
// percentile of half a round trip of one byte through a relay, over a time.
func (r *Rig) MeasureDelay(ctx context.Context, delay, over time.Duration) (median, late time.Duration, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = echo.Close() }()
	go func() {
		if c, err := echo.Accept(); err == nil {
			_, _ = io.Copy(c, c) // ends with the connection
		}
	}()
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, err
	}
	between := &relay.Relay{Listener: front, Sleep: nap, Dial: func(ctx context.Context) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", echo.Addr().String())
	}}
	between.SetDelay(relay.Upstream, delay)
	between.SetDelay(relay.Downstream, delay)
	go func() { _ = between.Run(ctx) }() // ends with ctx, which is its only error
	c, err := net.Dial("tcp", front.Addr().String())
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = c.Close() }()
	var all []time.Duration
	one := make([]byte, 1)
	for end := time.Now().Add(over); time.Now().Before(end) && ctx.Err() == nil; {
		began := time.Now()
		if _, err := c.Write(one); err != nil {
			return 0, 0, err
		}
		if _, err := io.ReadFull(c, one); err != nil {
			return 0, 0, err
		}
		all = append(all, time.Since(began)/2)
		nap(echoPause)
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)*99/100], nil
}

// echoPause is kept between two bytes.
const echoPause = 20 * time.Millisecond

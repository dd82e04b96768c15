package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	v1 "gypsumreel/internal/api/v1"
)

const (
	pingIdleTime = 2 * time.Second
	pingTimeout  = time.Second
)

// Entry is one way into the cell.
type Entry struct {
	Client v1.BackendClient
	// CloseIdle gives up the connections that are idle; nil for nothing.
	CloseIdle func()
}

// NewEntry returns the way to the entry at the address, over HTTP/2 with pings,
// so that one connection carries everything and a silent one is noticed. The
// configuration is nil for plain connections, dial is nil for TCP.
func NewEntry(address string, config *tls.Config, dial func(ctx context.Context, network, address string) (net.Conn, error)) Entry {
	protocols := new(http.Protocols)
	scheme := "http://"
	if config == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
		scheme = "https://"
	}
	transport := &http.Transport{
		DialContext: dial, TLSClientConfig: config.Clone(), Protocols: protocols,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
	}
	return Entry{Client: v1.NewBackendClient(&http.Client{Transport: transport}, scheme+address), CloseIdle: transport.CloseIdleConnections}
}

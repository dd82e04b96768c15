package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	v1 "gypsumreel/internal/api/v1"
)

// HTTP/2 health check of a connection to an entry.
const (
	// pingIdleTime is how long a connection receives nothing before a ping is sent.
	pingIdleTime = 2 * time.Second
	pingTimeout  = time.Second
)

// EntryClient is a client of one entry of the cell.
type EntryClient struct {
	Client v1.BackendClient
	// CloseIdle closes idle connections to the entry; may be nil.
	CloseIdle func()
}

// NewEntryClient returns a client of the entry at the address. It uses HTTP/2 with pings, so
// that one connection carries all calls and a dead connection is detected. A nil config
// selects plain-text connections and a nil dial selects TCP.
func NewEntryClient(address string, config *tls.Config, dial func(ctx context.Context, network, address string) (net.Conn, error)) EntryClient {
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
	return EntryClient{Client: v1.NewBackendClient(&http.Client{Transport: transport}, scheme+address), CloseIdle: transport.CloseIdleConnections}
}

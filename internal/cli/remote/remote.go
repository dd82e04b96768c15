// Package remote holds the flags that the verbs use to connect to a running cell.
package remote

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"net/url"
	"os"
	"strings"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/cli/verb"
	"gypsumreel/internal/client/caller"
	"gypsumreel/internal/client/operator"
	"gypsumreel/internal/client/transport"
)

// idBytes is the number of random bytes in a generated id.
const idBytes = 12

// Flags hold the address of the cell, the client's credentials and the timeout.
type Flags struct {
	Address           string        `long:"address" env:"GYPSUMREEL_ADDRESS" description:"addresses of entries or of their load balancer, comma-separated: https://IP:PORT, or http://IP:PORT without TLS"`
	Key               string        `long:"key" env:"GYPSUMREEL_KEY" description:"key as ID.SECRET; prefer the environment variable, as the process list shows flags"`
	Authority         string        `long:"authority" env:"GYPSUMREEL_AUTHORITY" description:"PEM file of the authorities that signed the entries' certificates"`
	ClientCertificate string        `long:"certificate" env:"GYPSUMREEL_CERTIFICATE" description:"PEM file with this client's certificate and key, when the entries require one"`
	Timeout           time.Duration `long:"timeout" default:"30s" description:"maximum wait for an answer, including retries"`
}

// CallerClient returns a client for a team's calls and a context that ends after the
// timeout.
func (f Flags) CallerClient(ctx context.Context) (*caller.Client, context.Context, context.CancelFunc, error) {
	transportClient, err := f.Transport()
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	return &caller.Client{Transport: transportClient}, ctx, cancel, nil
}

// OperatorClient returns a client for an operator's calls and a context that ends after
// the timeout.
func (f Flags) OperatorClient(ctx context.Context) (*operator.Client, context.Context, context.CancelFunc, error) {
	transportClient, err := f.Transport()
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	return &operator.Client{Transport: transportClient}, ctx, cancel, nil
}

// Show returns all lines of one part of the cell's state.
func (f Flags) Show(ctx context.Context, part v1.Part) (*v1.ShowReply, error) {
	client, ctx, cancel, err := f.OperatorClient(ctx)
	if err != nil {
		return nil, err
	}
	defer cancel()
	r, err := client.Show(ctx, part)
	if err != nil {
		return nil, UserError(err)
	}
	return r, nil
}

// Transport validates the flags and returns the client that sends calls to the entries.
func (f Flags) Transport() (*transport.Client, error) {
	if f.Timeout <= 0 {
		return nil, verb.UsageError("Give a duration such as 30s.", "--timeout %s is not positive", f.Timeout)
	}
	if f.Key == "" {
		return nil, verb.UsageError("Set --key or GYPSUMREEL_KEY to ID.SECRET.", "no key given")
	}
	addresses, err := f.parseAddresses()
	if err != nil {
		return nil, err
	}
	cfg, err := f.TLSConfig()
	if err != nil {
		return nil, err
	}
	return &transport.Client{Addresses: addresses, Key: f.Key, TLS: cfg}, nil
}

func (f Flags) parseAddresses() ([]string, error) {
	const usage = "Set --address or GYPSUMREEL_ADDRESS to https://IP:PORT of an entry, or http://IP:PORT for one without TLS."
	if f.Address == "" {
		return nil, verb.UsageError(usage, "no address given")
	}
	var addresses []string
	for _, address := range strings.Split(f.Address, ",") {
		parsed, err := url.Parse(strings.TrimSpace(address))
		if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
			return nil, verb.UsageError(usage, "invalid address %q", address)
		}
		addresses = append(addresses, strings.TrimSuffix(parsed.String(), "/"))
	}
	return addresses, nil
}

// TLSConfig returns the TLS configuration for https addresses.
func (f Flags) TLSConfig() (*tls.Config, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS13}
	if f.Authority != "" {
		pem, err := os.ReadFile(f.Authority)
		if err != nil {
			return nil, verb.UsageError("Check --authority.", "%v", err)
		}
		cfg.RootCAs = x509.NewCertPool()
		if !cfg.RootCAs.AppendCertsFromPEM(pem) {
			return nil, verb.UsageError("Check --authority.", "%s contains no certificate in PEM format", f.Authority)
		}
	}
	if f.ClientCertificate != "" {
		pair, err := tls.LoadX509KeyPair(f.ClientCertificate, f.ClientCertificate)
		if err != nil {
			return nil, verb.UsageError("Check --certificate.", "%v", err)
		}
		cfg.Certificates = []tls.Certificate{pair}
	}
	return cfg, nil
}

// NewID returns a random id that is unique in practice.
func NewID() string {
	b := make([]byte, idBytes)
	_, _ = rand.Read(b) // never returns an error: crypto/rand crashes the process instead
	return hex.EncodeToString(b)
}

// UserError converts a client error that carries a result code into a verb.Error with
// exit code and advice. It returns other errors unchanged.
func UserError(err error) error {
	var refusal *code.Error
	if !errors.As(err, &refusal) {
		return err
	}
	verbErr := verb.CodeError(refusal.Code, refusal.Detail)
	if advice := transportAdvice(refusal); advice != "" {
		verbErr.Advice = advice
	}
	return verbErr
}

// transportHints maps a substring of a transport error to advice for the user.
var transportHints = []struct{ substring, advice string }{
	{"certificate required", "The entry requires a client certificate: give --certificate. Or the address is not that of an entry."},
	{"x509:", "The entry's certificate is not trusted: check --authority (GYPSUMREEL_AUTHORITY) and that the certificate names the address."},
	{"HTTP response to HTTPS client", "The entry expects plain text at this address: use http:// if its settings intend that."},
	{"400 Bad Request", "The entry may expect TLS at this address: use https://."},
	{"connection refused", "Nothing listens at this address: check the address, and whether the entry runs."},
}

// transportAdvice returns advice about a call that got no answer. It returns an empty
// string when no hint matches.
func transportAdvice(refusal *code.Error) string {
	if refusal.Code != code.LeaderTimeout {
		return ""
	}
	for _, hint := range transportHints {
		if strings.Contains(refusal.Detail, hint.substring) {
			return hint.advice
		}
	}
	return ""
}

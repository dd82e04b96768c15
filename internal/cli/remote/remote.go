// Package remote holds the flags with which the verbs reach a running cell.
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

// idBytes is the entropy of an id that the command makes.
const idBytes = 12

// Flags say where the cell is and who asks.
type Flags struct {
	Address           string        `long:"address" env:"GYPSUMREEL_ADDRESS" description:"entries or their balancer, comma-separated: https://IP:PORT, or http://IP:PORT without TLS"`
	Key               string        `long:"key" env:"GYPSUMREEL_KEY" description:"key as ID.SECRET; better given by the environment than seen in the process list"`
	Authority         string        `long:"authority" env:"GYPSUMREEL_AUTHORITY" description:"PEM file of the authorities that signed the entries' certificates"`
	ClientCertificate string        `long:"certificate" env:"GYPSUMREEL_CERTIFICATE" description:"PEM file with this client's certificate and key, when the entries want one"`
	Timeout           time.Duration `long:"timeout" default:"30s" description:"longest wait for an answer, over all tries"`
}

// CallerClient returns the client of a team and the context that bounds its calls.
func (f Flags) CallerClient(ctx context.Context) (*caller.Client, context.Context, context.CancelFunc, error) {
	l, err := f.Transport()
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	return &caller.Client{Transport: l}, ctx, cancel, nil
}

// OperatorClient returns the client of an operator and the context that bounds its calls.
func (f Flags) OperatorClient(ctx context.Context) (*operator.Client, context.Context, context.CancelFunc, error) {
	l, err := f.Transport()
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	return &operator.Client{Transport: l}, ctx, cancel, nil
}

// Show reads all lines of a part of the state.
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

// Transport checks the flags and returns the way to the entries.
func (f Flags) Transport() (*transport.Client, error) {
	if f.Timeout <= 0 {
		return nil, verb.UsageError("Give a duration such as 30s.", "--timeout %s is not positive", f.Timeout)
	}
	if f.Key == "" {
		return nil, verb.UsageError("Set --key or GYPSUMREEL_KEY to ID.SECRET.", "no key")
	}
	addresses, err := f.addresses()
	if err != nil {
		return nil, err
	}
	cfg, err := f.TLSConfig()
	if err != nil {
		return nil, err
	}
	return &transport.Client{Addresses: addresses, Key: f.Key, TLS: cfg}, nil
}

func (f Flags) addresses() ([]string, error) {
	const next = "Set --address or GYPSUMREEL_ADDRESS to https://IP:PORT of an entry, or http://IP:PORT for one without TLS."
	if f.Address == "" {
		return nil, verb.UsageError(next, "no address")
	}
	var out []string
	for _, a := range strings.Split(f.Address, ",") {
		u, err := url.Parse(strings.TrimSpace(a))
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, verb.UsageError(next, "address %q is not allowed", a)
		}
		out = append(out, strings.TrimSuffix(u.String(), "/"))
	}
	return out, nil
}

// TLSConfig returns the configuration for https addresses.
func (f Flags) TLSConfig() (*tls.Config, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS13}
	if f.Authority != "" {
		pem, err := os.ReadFile(f.Authority)
		if err != nil {
			return nil, verb.UsageError("Check --authority.", "%v", err)
		}
		cfg.RootCAs = x509.NewCertPool()
		if !cfg.RootCAs.AppendCertsFromPEM(pem) {
			return nil, verb.UsageError("Check --authority.", "%s holds no certificate in PEM", f.Authority)
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

// NewID returns an id that nobody else makes.
func NewID() string {
	b := make([]byte, idBytes)
	_, _ = rand.Read(b) // never fails: crypto/rand ends the process instead
	return hex.EncodeToString(b)
}

// UserError turns an error of a client into one with an exit code and advice.
func UserError(err error) error {
	var refusal *code.Error
	if !errors.As(err, &refusal) {
		return err
	}
	out := verb.CodeError(refusal.Code, refusal.Detail)
	if next := transportAdvice(refusal); next != "" {
		out.Advice = next
	}
	return out
}

// hints tells by a part of the transport's message what the user can mend.
var hints = []struct{ part, next string }{
	{"certificate required", "The entry wants a certificate of its clients: give --certificate; or the address is not that of an entry."},
	{"x509:", "The entry's certificate is not trusted: check --authority (GYPSUMREEL_AUTHORITY) and that the certificate names the address."},
	{"HTTP response to HTTPS client", "The entry speaks plain text there: use http://, if its settings are meant to."},
	{"400 Bad Request", "The entry may speak TLS there: use https://."},
	{"connection refused", "Nothing listens there: check the address, and whether the entry runs."},
}

// transportAdvice returns advice about a call that never got an answer.
func transportAdvice(refusal *code.Error) string {
	if refusal.Code != code.LeaderTimeout {
		return ""
	}
	for _, h := range hints {
		if strings.Contains(refusal.Detail, h.part) {
			return h.next
		}
	}
	return ""
}

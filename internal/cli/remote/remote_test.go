package remote_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/cli/remote"
	"gypsumreel/internal/cli/verb"
)

// An operator mixes up http and https, forgets the authority or dials the wrong
// port. The cell never hears of it, so that only the advice can tell what is wrong.
func TestMixedUpAddressesSayWhatToMend(t *testing.T) {
	plain, secure := httptest.NewServer(http.NotFoundHandler()), httptest.NewTLSServer(http.NotFoundHandler())
	t.Cleanup(plain.Close)
	t.Cleanup(secure.Close)
	for address, want := range map[string]string{
		secure.URL: "--authority",
		"https" + strings.TrimPrefix(plain.URL, "http"):  "use http://",
		"http" + strings.TrimPrefix(secure.URL, "https"): "use https://",
		"http://127.0.0.1:1":                             "Nothing listens there",
		plain.URL:                                        "",
	} {
		t.Run(address, func(t *testing.T) {
			t.Parallel()
			f := remote.Flags{Address: address, Key: "id.secret", Timeout: 2 * time.Second}
			client, ctx, cancel, err := f.OperatorClient(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			defer cancel()
			_, err = client.Show(ctx, v1.Part_PART_TABLE)
			var got *verb.Error
			if !errors.As(remote.UserError(err), &got) || !strings.Contains(got.Advice, want) {
				t.Errorf("%s: %v", address, err)
			}
		})
	}
}

func TestBadFlagsSendNothing(t *testing.T) {
	empty := filepath.Join(t.TempDir(), "empty.pem")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	good := remote.Flags{Address: "https://10.0.0.1:7401, http://10.0.0.2:7401/", Key: "id.secret", Timeout: time.Second}
	l, err := good.Transport()
	if err != nil || len(l.Addresses) != 2 || l.Addresses[1] != "http://10.0.0.2:7401" {
		t.Fatalf("%v, %v", l, err)
	}
	for name, change := range map[string]func(*remote.Flags){
		"no key":        func(f *remote.Flags) { f.Key = "" },
		"no address":    func(f *remote.Flags) { f.Address = "" },
		"no scheme":     func(f *remote.Flags) { f.Address = "10.0.0.1:7401" },
		"other scheme":  func(f *remote.Flags) { f.Address = "ftp://10.0.0.1" },
		"no time":       func(f *remote.Flags) { f.Timeout = 0 },
		"no authority":  func(f *remote.Flags) { f.Authority = empty + "x" },
		"bad authority": func(f *remote.Flags) { f.Authority = empty },
		"bad proof":     func(f *remote.Flags) { f.ClientCertificate = empty },
	} {
		f := good
		change(&f)
		var got *verb.Error
		if _, err := f.Transport(); !errors.As(err, &got) || got.ExitCode != verb.ExitUsage || got.Advice == "" {
			t.Errorf("%s: %v", name, err)
		}
	}
}

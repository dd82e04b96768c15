package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumreel/internal/base/page"
	"gypsumreel/internal/base/settings"
)

const open = `"tls": {"outside": {"plain": true}, "inside": {"plain": true}}`

func TestShortestFileIsTheDefault(t *testing.T) {
	for _, role := range []settings.Role{settings.RoleControl, settings.RoleEntry} {
		got, err := settings.Parse("f", []byte(`{"role": "`+string(role)+`", `+open+`}`))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(settings.Default(role), got); diff != "" {
			t.Errorf("%s: default and shortest file differ:\n%s", role, diff)
		}
	}
}

func TestFileOverridesDefaults(t *testing.T) {
	got, err := settings.Parse("f", []byte(`// a comment
{"role": "control", "name": "c-2", "data": "d", "control": [{"name": "c-2", "address": "10.0.0.1:7"}], // another
 "time": {"lease": "20s"}, "limits": {"snapshot": 70,}, `+open+`}`))
	if err != nil {
		t.Fatal(err)
	}
	want := settings.Default(settings.RoleControl)
	want.Name, want.DataDir = "c-2", "d"
	want.ControlReplicas = []settings.ControlReplica{{Name: "c-2", Address: "10.0.0.1:7"}}
	want.Time.LeaseDuration, want.Limits.SnapshotEntries = 20*time.Second, 70
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// An operator edits a file on a busy night and makes several slips at once. One
// report a run would mean one failed start for each slip, so all are reported,
// each where it stands.
func TestEveryFaultIsReportedInItsPlace(t *testing.T) {
	_, err := settings.Parse("f.json", []byte(`{
  "name": "Upper",
  "rolle": "entry",
  "time": {"lease": "soon", "lease": "3s", "poll": 5},
  "limits": {"snapshot": 1e3, "batch": 99999999999},
  "control": [{"name": "a", "port": 1}],
  "enrolment": ["00"],
  "time.fresh": "1s",
  "log": null,
  "tls": {"outside": {"plain": true, "key": "k"}}
}`))
	var faults settings.Faults
	if !errors.As(err, &faults) {
		t.Fatalf("got %v", err)
	}
	type place struct {
		Line, Column int
		Setting      string
	}
	var got []place
	for _, f := range faults {
		got = append(got, place{f.Line, f.Column, f.Setting})
		if !strings.Contains(f.Text, "allowed: ") {
			t.Errorf("%s: does not say what is allowed", f)
		}
	}
	want := []place{
		{1, 1, "tls.inside.plain"},
		{2, 11, "name"},
		{3, 3, "rolle"},
		{4, 21, "time.lease"},
		{4, 29, "time.lease"},
		{4, 52, "time.poll"},
		{5, 26, "limits.snapshot"},
		{5, 40, "limits.batch"}, // out of bounds
		{5, 40, "limits.batch"}, // of the other role
		{6, 15, "control[0]"},
		{6, 29, "control[0].port"},
		{7, 16, "enrolment"},
		{7, 17, "enrolment[0]"},
		{8, 3, "time.fresh"},
		{9, 10, "log"},
		{10, 32, "tls.outside.plain"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestFaultsBetweenSettings(t *testing.T) {
	for text, want := range map[string]string{
		`{"role": "entry", "data": "d", ` + open + `}`:                                                                           "f:1:27: data: not a setting of role entry",
		`{"time": {"election": "300ms"}, ` + open + `}`:                                                                          "f:1:23: time.election: 300ms; allowed: at least 4 times",
		`{"time": {"lease": "1s"}, ` + open + `}`:                                                                                "f:1:20: time.lease: 1s; allowed: at least twice",
		`{"control": [{"name": "x", "address": "10.0.0.1:1"}], ` + open + `}`:                                                    "f:1:13: control: does not list this replica",
		`{"role": "entry", "control": [{"name": "x", "address": "host:1"}], ` + open + `}`:                                       "f:1:56: control[0].address: not allowed",
		`{"tls": {"outside": {"plain": true}, "inside": {"certificate": "c", "key": "k"}}}`:                                      "f:1:1: tls.inside.plain: not secured",
		`{"role": "entry", "control": [{"name": "x", "address": "[::1]:1"}, {"name": "x", "address": "[::1]:1"}], ` + open + `}`: "f:1:30: control: name x stands twice",
		`{"role": "entry", "enrolment": ["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"], ` + open + `}`:     "f:1:33: enrolment[0]: not allowed",
		`{"cell": }`: "f:1:10: JSON with comments is expected",
		``:           "f:1:1: JSON with comments is expected",
		`[]`:         "f:1:1: an object is expected",
	} {
		_, err := settings.Parse("f", []byte(text))
		if err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s\ngot  %v\nwant %s", text, err, want)
		}
	}
}

// Someone gives the daemon a large data file for its settings: 40,000 unknown
// keys on one line. Finding the place of each took 12 seconds in all, on a
// machine of today, before the first word was printed.
func TestFaultsShownAreBounded(t *testing.T) {
	const n = 40_000
	_, err := settings.Parse("f", []byte("{"+strings.Repeat(`"a":1,`, n)+open+"}"))
	var faults settings.Faults
	if !errors.As(err, &faults) || len(faults) != settings.MaxReportedFaults+1 {
		t.Fatalf("%d faults", len(faults))
	}
	if got, want := faults[settings.MaxReportedFaults].String(), "f: 39900 more faults are not shown"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestLoadResolvesPathsFromTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.json")
	if err := os.WriteFile(path, []byte(`{`+open+`}`), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := settings.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if want := filepath.Join(filepath.Dir(path), settings.DefaultDataDir); s.DataDir != want {
		t.Errorf("data is %s, want %s", s.DataDir, want)
	}
	if _, err := settings.Load(path + "x"); err == nil {
		t.Error("a missing file was read")
	}
}

func TestPageListsEverySetting(t *testing.T) {
	page.CheckGenerated(t, "../../../docs/SETTINGS.md", settings.Markdown())
}

// A setting that is read and checked but used by nothing is worse than none: an
// operator changes it on a bad night and nothing happens.
func TestEverySettingIsInForce(t *testing.T) {
	var verbs []byte
	for _, name := range []string{"control", "entry"} {
		b, err := os.ReadFile("../../cli/" + name + "/" + name + ".go")
		if err != nil {
			t.Fatal(err)
		}
		verbs = append(verbs, b...)
	}
	s := reflect.TypeFor[settings.Settings]()
	for _, group := range []string{"Listen", "Time", "Limits"} {
		f, _ := s.FieldByName(group)
		for i := range f.Type.NumField() {
			if use := "s." + group + "." + f.Type.Field(i).Name; !strings.Contains(string(verbs), use) {
				t.Errorf("%s is used by no daemon", use)
			}
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"control", "entry", "single"} {
		b, err := os.ReadFile("../../../examples/" + name + ".json")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte(`{"": 1, "time": [], "control": {}, "tls": {"inside": {"plain": "true"}}}`))
	f.Add([]byte("{\"name\": \"\xff\"}"))
	f.Add([]byte(strings.Repeat("[", 1000)))
	f.Add([]byte("{" + strings.Repeat(`"a":1,`, 1000) + "}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := settings.Parse("f", b)
		var faults settings.Faults
		switch {
		case err == nil && s == nil:
			t.Fatal("neither settings nor faults")
		case err != nil && (!errors.As(err, &faults) || len(faults) == 0):
			t.Fatalf("not a list of faults: %v", err)
		case err == nil && (s.Time.LeaseDuration <= 0 || len(s.ControlReplicas) == 0):
			t.Fatalf("accepted settings that can't run: %+v", s)
		}
	})
}

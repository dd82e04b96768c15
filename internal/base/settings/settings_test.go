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

// tlsDisabled is the shortest TLS configuration.
const tlsDisabled = `"tls": {"outside": {"plain": true}, "inside": {"plain": true}}`

func TestMinimalFileEqualsTheDefaults(t *testing.T) {
	for _, role := range []settings.Role{settings.RoleControl, settings.RoleEntry} {
		got, err := settings.Parse("f", []byte(`{"role": "`+string(role)+`", `+tlsDisabled+`}`))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(settings.Default(role), got); diff != "" {
			t.Errorf("role %s: the minimal file differs from the defaults:\n%s", role, diff)
		}
	}
}

func TestFileOverridesDefaults(t *testing.T) {
	got, err := settings.Parse("f", []byte(`// a comment
{"role": "control", "name": "c-2", "data": "d", "control": [{"name": "c-2", "address": "10.0.0.1:7"}], // another
 "time": {"lease": "20s"}, "limits": {"snapshot": 70,}, `+tlsDisabled+`}`))
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

// Guards against a fixed election timeout by default: replicas that get too little processor time
// would depose each other for ever.
func TestElectionTimeoutAdaptsByDefault(t *testing.T) {
	for times, want := range map[string]time.Duration{
		`{}`: 4 * time.Second, `{"election": "500ms"}`: 2 * time.Second, `{"lease": "4s"}`: 2 * time.Second, `{"patience": "1s"}`: time.Second,
	} {
		s, err := settings.Parse("f", []byte(`{"role": "control", "time": `+times+`, `+tlsDisabled+`}`))
		if err != nil {
			t.Fatal(err)
		}
		if s.Time.MaxElectionTimeout != want {
			t.Errorf("%s: the election timeout is at most %v, want %v", times, s.Time.MaxElectionTimeout, want)
		}
	}
}

// Guards against reporting only the first of several faults, which would cost the
// operator one failed start per fault, and against wrong positions.
func TestEveryFaultIsReportedWithItsPosition(t *testing.T) {
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
	type position struct {
		Line, Column int
		Setting      string
	}
	var got []position
	for _, f := range faults {
		got = append(got, position{f.Line, f.Column, f.Setting})
		if !strings.Contains(f.Text, "allowed: ") {
			t.Errorf("fault %q does not list the allowed values", f)
		}
	}
	want := []position{
		{1, 1, "tls.inside.plain"},
		{2, 11, "name"},
		{3, 3, "rolle"},
		{4, 21, "time.lease"},
		{4, 29, "time.lease"},
		{4, 52, "time.poll"},
		{5, 26, "limits.snapshot"},
		{5, 40, "limits.batch"}, // out of range
		{5, 40, "limits.batch"}, // not a setting of this role
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

func TestFaultMessagesStartWithPositionAndSetting(t *testing.T) {
	for text, want := range map[string]string{
		`{"role": "entry", "data": "d", ` + tlsDisabled + `}`:                                                                           "f:1:27: data: not a setting of role entry",
		`{"time": {"election": "300ms"}, ` + tlsDisabled + `}`:                                                                          "f:1:23: time.election: 300ms; allowed: at least 4 times",
		`{"time": {"lease": "1s"}, ` + tlsDisabled + `}`:                                                                                "f:1:20: time.lease: 1s; allowed: at least twice",
		`{"control": [{"name": "x", "address": "10.0.0.1:1"}], ` + tlsDisabled + `}`:                                                    "f:1:13: control: does not list this replica",
		`{"role": "entry", "control": [{"name": "x", "address": "host:1"}], ` + tlsDisabled + `}`:                                       "f:1:56: control[0].address: invalid value",
		`{"tls": {"outside": {"plain": true}, "inside": {"certificate": "c", "key": "k"}}}`:                                             "f:1:1: tls.inside.plain: not secured",
		`{"role": "entry", "control": [{"name": "x", "address": "[::1]:1"}, {"name": "x", "address": "[::1]:1"}], ` + tlsDisabled + `}`: "f:1:30: control: name x is listed twice",
		`{"role": "entry", "enrolment": ["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"], ` + tlsDisabled + `}`:     "f:1:33: enrolment[0]: invalid value",
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

// Guards against a slow start with a large file that is not a settings file. Finding the
// positions of 40,000 unknown keys on one line took 12 seconds in total.
func TestNumberOfReportedFaultsIsLimited(t *testing.T) {
	const n = 40_000
	_, err := settings.Parse("f", []byte("{"+strings.Repeat(`"a":1,`, n)+tlsDisabled+"}"))
	var faults settings.Faults
	if !errors.As(err, &faults) || len(faults) != settings.MaxReportedFaults+1 {
		t.Fatalf("got %d faults, want %d", len(faults), settings.MaxReportedFaults+1)
	}
	if got, want := faults[settings.MaxReportedFaults].String(), "f: 39900 more faults are not shown"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestRelativePathsAreResolvedFromTheFolderOfTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.json")
	if err := os.WriteFile(path, []byte(`{`+tlsDisabled+`}`), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := settings.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if want := filepath.Join(filepath.Dir(path), settings.DefaultDataDir); s.DataDir != want {
		t.Errorf("data folder is %s, want %s", s.DataDir, want)
	}
	if _, err := settings.Load(path + "x"); err == nil {
		t.Error("Load returned no error for a missing file")
	}
}

func TestPageListsEverySetting(t *testing.T) {
	page.CheckGenerated(t, "../../../docs/SETTINGS.md", settings.Markdown())
}

// Guards against a setting that is parsed and checked but has no effect because no
// daemon uses it.
func TestEverySettingIsUsedByADaemon(t *testing.T) {
	var sources []byte
	for _, name := range []string{"control", "entry"} {
		b, err := os.ReadFile("../../cli/" + name + "/" + name + ".go")
		if err != nil {
			t.Fatal(err)
		}
		sources = append(sources, b...)
	}
	s := reflect.TypeFor[settings.Settings]()
	for _, group := range []string{"Listen", "Time", "Limits"} {
		groupField, _ := s.FieldByName(group)
		for i := range groupField.Type.NumField() {
			if settingUse := "s." + group + "." + groupField.Type.Field(i).Name; !strings.Contains(string(sources), settingUse) {
				t.Errorf("no daemon uses %s", settingUse)
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
			t.Fatal("Parse returned neither settings nor an error")
		case err != nil && (!errors.As(err, &faults) || len(faults) == 0):
			t.Fatalf("the error is not a list of faults: %v", err)
		case err == nil && (s.Time.LeaseDuration <= 0 || len(s.ControlReplicas) == 0):
			t.Fatalf("Parse accepted settings without a lease duration or control replicas: %+v", s)
		}
	})
}

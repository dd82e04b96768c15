package sheet_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/cli/sheet"
)

func rows() []*v1.Row {
	return []*v1.Row{
		{Team: "plans", Weight: 3, Share: 125, Limit: &v1.Size{Cpu: 1500, Memory: 4096, Accel: -1, Slots: 0}, Queue: 10},
		{Team: "quotes", Weight: 1, Share: 1000, Limit: &v1.Size{Cpu: -1, Memory: -1, Accel: -1, Slots: -1}},
	}
}

func TestExportComesBackUnchanged(t *testing.T) {
	var b bytes.Buffer
	if err := sheet.Write(&b, 7, rows()); err != nil {
		t.Fatal(err)
	}
	got, err := sheet.Read("f", b.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	all := []string{"weight", "share", "cpu", "memory", "accel", "slots", "queue"}
	want := sheet.Sheet{BaseRevision: 7, Edits: []*v1.Edit{{Row: rows()[0], Cells: all}, {Row: rows()[1], Cells: all}}}
	if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
}

// A spreadsheet set to Turkish saves semicolons and decimal commas and puts a
// byte-order mark in front. The operator sees an ordinary sheet, so it must
// mean the same.
func TestSheetOfAnotherCountryMeansTheSame(t *testing.T) {
	got, err := sheet.Read("f", []byte("\ufeffTeam;Share;CPU\r\nplans;12,5%;1,5\r\n;;\r\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := []*v1.Edit{{Row: &v1.Row{Team: "plans", Share: 125, Limit: &v1.Size{Cpu: 1500}}, Cells: []string{"share", "cpu"}}}
	if diff := cmp.Diff(want, got.Edits, protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
}

func TestEmptyCellsStayAsTheyAre(t *testing.T) {
	got, err := sheet.Read("f", []byte("team,weight,share,queue\nplans,,5,\n"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"share"}, got.Edits[0].GetCells()); diff != "" {
		t.Error(diff)
	}
}

func TestFaultsNameTheirPlace(t *testing.T) {
	for text, want := range map[string]string{
		"":                                    "f:1:1: the sheet is empty",
		"weight\n1":                           "f:1:1: no column team",
		"team,wait\n":                         `f:1:6: unknown column "wait"`,
		"team,weight,weight\n":                `f:1:13: column "weight" stands twice`,
		"team,weight\na,0\n":                  `f:2:3: weight is "0"; allowed: a whole number from 1`,
		"team,share\na,100.1%\n":              `f:2:3: share is "100.1%"`,
		"team,share\na,0.05%\n":               `f:2:3: share is "0.05%"`,
		"team,cpu\na,1e3\n":                   `f:2:3: cpu is "1e3"`,
		"team,cpu\na,NaN\n":                   `f:2:3: cpu is "NaN"`,
		"team,memory\na,1.5\n":                `f:2:3: memory is "1.5"`,
		"team,queue\na,-1\n":                  `f:2:3: queue is "-1"`,
		"team,queue\na,1\na,2\n":              "f:3:1: team a stands twice",
		"team,queue\n,1\n":                    "f:2:1: the team's name is missing",
		"team,queue\na,1,9\n":                 "f:2:5: more cells than columns",
		"team\na\n":                           "f:2:1: team a has no value to set",
		"team,queue,revision\na,1,3\nb,1,4\n": "f:3:5: revision is 4 here and 3 above",
		"team,queue\na,\"1\n":                 "f:2:6: extraneous or missing",
	} {
		_, err := sheet.Read("f", []byte(text))
		if err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: got %v, want %s", text, err, want)
		}
	}
}

// A data file of millions of short lines is imported by mistake. The report must
// stay something a person reads, and the command must not eat the memory.
func TestFaultsShownAreBounded(t *testing.T) {
	_, err := sheet.Read("f", []byte("team,queue\n"+strings.Repeat("x\n", 100_000)))
	var faults sheet.Faults
	if !errors.As(err, &faults) || len(faults) != sheet.MaxFaults+1 {
		t.Errorf("%d faults", len(faults))
	}
}

func FuzzRead(f *testing.F) {
	for _, s := range []string{
		"team,weight,share,cpu,memory,accel,slots,queue,revision\na,1,5%,1.5,unlimited,-1,0,9,3\n",
		"\ufeffteam;cpu\na;1,25\n", "team\tqueue\na\t1\n", "team,queue\n\"a\"\"b\",1\n", ",\n,", "\"",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := sheet.Read("f", b)
		var faults sheet.Faults
		if err != nil {
			if !errors.As(err, &faults) || len(faults) == 0 {
				t.Fatalf("not a list of faults: %v", err)
			}
			return
		}
		for _, e := range s.Edits {
			if e.GetRow().GetTeam() == "" || len(e.GetCells()) == 0 {
				t.Fatalf("accepted %v", e)
			}
			for _, name := range e.GetCells() {
				c, _ := sheet.FindColumn(name)
				if back := (&v1.Row{}); !c.Parse(back, c.Format(e.GetRow())) || c.Format(back) != c.Format(e.GetRow()) {
					t.Fatalf("%s doesn't come back: %q", name, c.Format(e.GetRow()))
				}
			}
		}
	})
}

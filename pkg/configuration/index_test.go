package configuration_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cuminroute/cuminroute/pkg/configuration"
)

// A fixed seed makes the tests repeatable in CI; -rapid.seed on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestIndexAgreesWithSearch guards against an index whose results differ from those of a linear search,
// also for duplicate names and keys and for a copy whose slices were replaced.
func TestIndexAgreesWithSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Custom(drawConfiguration)
		plain := draw.Draw(t, "configuration")
		indexed := configuration.BuildIndex(&plain)
		assertAgree(t, &plain, indexed)
		other := draw.Draw(t, "other")
		changed := *indexed
		changed.Workspaces, changed.HeadOffice = other.Workspaces, other.HeadOffice
		assertAgree(t, &other, &changed)
	})
}

func drawConfiguration(t *rapid.T) configuration.Configuration {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	keys := rapid.SliceOfN(rapid.Map(name, func(n string) configuration.Key {
		return configuration.Key{Name: n, Hash: configuration.HashKey(n)}
	}), 0, 2)
	workspaces := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) configuration.Workspace {
		branch := configuration.Branch{Name: name.Draw(t, "branch"), Keys: keys.Draw(t, "branch keys")}
		return configuration.Workspace{Name: name.Draw(t, "name"), Keys: keys.Draw(t, "keys"), Branches: []configuration.Branch{branch}}
	}), 0, 3).Draw(t, "workspaces")
	zone := rapid.SampledFrom([]string{"Europe/Rome", "UTC", "nowhere"}).Draw(t, "zone")
	hours := &configuration.Hours{Open: "06:00", Close: "12:00"}
	return configuration.Configuration{
		HeadOffice: configuration.HeadOffice{TimeZone: zone, Operators: keys.Draw(t, "operators"), Rules: configuration.Overrides{OpeningHours: hours}},
		Workspaces: workspaces,
	}
}

func assertAgree(t *rapid.T, plain, indexed *configuration.Configuration) {
	at := time.Date(2026, 6, 2, rapid.IntRange(0, 23).Draw(t, "hour"), 30, 0, 0, time.UTC)
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		wantCaller, want := plain.Authenticate(name)
		gotCaller, got := indexed.Authenticate(name)
		wantOperator, _ := plain.AuthenticateOperator(name)
		gotOperator, _ := indexed.AuthenticateOperator(name)
		wantWorkspace, _ := plain.Workspace(name)
		gotWorkspace, _ := indexed.Workspace(name)
		if gotCaller != wantCaller || got != want || gotOperator != wantOperator || fmt.Sprint(gotWorkspace) != fmt.Sprint(wantWorkspace) {
			t.Fatalf("%s: the index returned %v %v %v, the search %v %v %v", name, gotCaller, got, gotOperator, wantCaller, want, wantOperator)
		}
		if plain.EffectiveRules(name, "a", at).Open != indexed.EffectiveRules(name, "a", at).Open {
			t.Fatalf("%s: the opening hours with and without an index differ", name)
		}
	}
}

// TestRequestKind guards against a reorder that matches an idempotent kind, and against a workspace
// that can use a service that it does not have.
func TestRequestKind(t *testing.T) {
	c, _, err := configuration.Parse("c.yaml", []byte(valid))
	qt.Assert(t, err, qt.IsNil)
	tests := []struct {
		workspace, method, path, want string
	}{
		{"large", "POST", "/reorders", "Reorder"},
		{"large", "POST", "reorders", "Reorder"},
		{"large", "GET", "/reorders", ""},
		{"large", "POST", "/other/a/b", "Other"},
		{"large", "POST", "/others", ""},
		{"none", "POST", "/reorders", ""},
	}
	for _, test := range tests {
		kind, ok := c.RequestKind(test.workspace, "orders", test.method, test.path)
		qt.Assert(t, kind.Name, qt.Equals, test.want, qt.Commentf("%v", test))
		qt.Assert(t, ok, qt.Equals, test.want != "")
	}
	_, ok := c.RequestKind("large", "stock", "POST", "/reorders")
	qt.Assert(t, ok, qt.IsFalse)
}

func BenchmarkAuthenticate(b *testing.B) {
	var c configuration.Configuration
	for i := range 3800 {
		name := fmt.Sprintf("workspace-%d", i)
		c.Workspaces = append(c.Workspaces, configuration.Workspace{Name: name, Keys: []configuration.Key{{Name: name, Hash: configuration.HashKey(name)}}})
	}
	for name, subject := range map[string]*configuration.Configuration{"search": &c, "indexed": configuration.BuildIndex(&c)} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if _, ok := subject.Authenticate("workspace-3799"); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}

func BenchmarkParse(b *testing.B) {
	content := largeFile(3800)
	b.SetBytes(int64(len(content)))
	for b.Loop() {
		if _, _, err := configuration.Parse("c.yaml", content); err != nil {
			b.Fatal(err)
		}
	}
}

func largeFile(workspaces int) []byte {
	at := strings.Index(valid, "  - Name: large")
	content := valid[:at]
	for i := range workspaces {
		text := strings.ReplaceAll(valid[at:], "large", fmt.Sprintf("w%d", i))
		text = strings.ReplaceAll(text, configuration.HashKey("large"), configuration.HashKey(fmt.Sprint("w", i)))
		content += strings.ReplaceAll(text, configuration.HashKey("market"), configuration.HashKey(fmt.Sprint("b", i)))
	}
	return []byte(content)
}

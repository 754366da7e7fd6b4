package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/finding"
	"github.com/cuminroute/cuminroute/pkg/settings"
)

const valid = `Instance: entry-1
DataCentre: mb-1
Fleet: krpanka
Listen:
  Callers: 127.0.0.1:8080
  Operators: 127.0.0.1:8081
  Peers: 127.0.0.1:8082
Platform:
  Table: http://127.0.0.1:7400
  ObjectStore: http://127.0.0.1:7400
  InstanceList: http://127.0.0.1:7400/
  WeightStore: http://127.0.0.1:7400
Seeds:
  - 127.0.0.1:9082
Operators:
  - Name: first
    Hash: sha256:0000000000000000000000000000000000000000000000000000000000000000
`

func writeSettings(t *testing.T, content string) string {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	qt.Assert(t, os.WriteFile(path, []byte(content), 0o600), qt.IsNil)
	return path
}

// TestLoad guards against overrides that are ignored and defaults that are not set.
func TestLoad(t *testing.T) {
	t.Setenv("CUMINROUTED_DATA_CENTRE", "mb-2")
	s, err := settings.Load([]string{"-config", writeSettings(t, valid), "-instance", "entry-7"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Instance, qt.Equals, "entry-7")
	qt.Assert(t, s.DataCentre, qt.Equals, "mb-2")
	qt.Assert(t, s.Platform.InstanceList, qt.Equals, "http://127.0.0.1:7400")
	qt.Assert(t, s.StopNotice, qt.Equals, settings.DefaultStopNotice)
	qt.Assert(t, s.StopNotice, qt.Equals, time.Second)
	qt.Assert(t, s.Seeds, qt.HasLen, 1)
}

// TestFindings guards against a problem that hides another, and against a wrong path or line in a finding.
func TestFindings(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		path     string
		line     int
	}{
		{"address without port", "127.0.0.1:8081", "127.0.0.1", "$.Listen.Operators", 6},
		{"host name", "127.0.0.1:8082", "peer.example:8082", "$.Listen.Peers", 7},
		{"no URL", "Table: http://127.0.0.1:7400", "Table: 127.0.0.1", "$.Platform.Table", 9},
		{"bad seed", "127.0.0.1:9082", "nowhere", "$.Seeds[0]", 14},
		{"bad hash", "sha256:00", "md5:00", "$.Operators[0].Hash", 17},
		{"unknown field", "DataCentre", "Zone", "$.Zone", 2},
		{"bad name", "entry-1", "entry 1", "$.Instance", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			content := strings.Replace(valid, test.old, test.new, 1) + "LogLevel: loud\n"
			_, err := settings.Load([]string{"-config", writeSettings(t, content)})
			var invalid *finding.Error
			qt.Assert(t, errors.As(err, &invalid), qt.IsTrue)
			lines := make(map[string]int)
			for _, f := range invalid.Findings {
				lines[f.Path] = f.Line
			}
			qt.Assert(t, lines[test.path], qt.Equals, test.line)
			qt.Assert(t, lines["$.LogLevel"], qt.Equals, 18)
		})
	}
}

// TestUsage guards against a command line with unknown flags or stray arguments that is accepted.
func TestUsage(t *testing.T) {
	for _, args := range [][]string{{"-unknown"}, {"stray"}} {
		_, err := settings.Load(args)
		qt.Assert(t, err, qt.IsNotNil)
	}
	_, err := settings.Load([]string{"-config", "/does/not/exist"})
	qt.Assert(t, err, qt.IsNotNil)
}

package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/command"
	"github.com/cuminroute/cuminroute/pkg/configlog"
	"github.com/cuminroute/cuminroute/pkg/peer/operator"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/logbackend"
	"github.com/cuminroute/cuminroute/pkg/peer/table"
	"github.com/cuminroute/cuminroute/pkg/standin/platform"
)

const (
	operatorKey = "example-krpanka-operator"
	example     = "../../examples/krpanka/configuration.yaml"
)

// fleet answers with instances of which one lags behind for a number of looks.
type fleet struct {
	operator.Fleet

	looks, lag int
	version    uint64
}

func (f *fleet) Instances(context.Context) ([]api.Instance, error) {
	f.looks++
	behind := f.version
	if f.looks <= f.lag {
		behind--
	}
	return []api.Instance{
		{Name: "e1", Live: true, Version: f.version},
		{Name: "e2", Live: true, Version: behind},
		{Name: "dead", Version: 0},
	}, nil
}

// session runs commands against an operator server on a real log, in a directory of its own.
type session struct {
	t         *testing.T
	directory string
	address   string
	fleet     *fleet
	now       time.Time
	in        string
}

func newSession(t *testing.T) *session {
	server, err := platform.New()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(server.Close)
	s := &session{t: t, directory: t.TempDir(), fleet: &fleet{version: 1}, now: time.Unix(0, 0)}
	operators := operator.AuthenticatorFunc(func(key string) (string, bool) { return "mara", key == operatorKey })
	log := logbackend.New(configlog.New(table.New(server.URL())))
	handler := httptest.NewServer(operator.NewServer(log, s.fleet, nil, operators))
	t.Cleanup(handler.Close)
	s.address = handler.URL
	return s
}

// run runs one command line; "DIR" stands for the directory and "REMOTE" for address and key.
func (s *session) run(line string) (code int, stdout, stderr string) {
	line = strings.ReplaceAll(line, "REMOTE", "-address "+s.address+" -key "+operatorKey)
	line = strings.ReplaceAll(line, "DIR", s.directory)
	var out, errs bytes.Buffer
	e := &command.Environment{
		Stdin: strings.NewReader(s.in), Stdout: &out, Stderr: &errs,
		Now:   func() time.Time { return s.now },
		Pause: func(_ context.Context, d time.Duration) { s.now = s.now.Add(d) },
	}
	code = command.Main(s.t.Context(), e, strings.Fields(line))
	return code, out.String(), errs.String()
}

func (s *session) expect(line string, code int, text string) string {
	s.t.Helper()
	got, stdout, stderr := s.run(line)
	qt.Assert(s.t, got, qt.Equals, code, qt.Commentf("%s\n%s%s", line, stdout, stderr))
	qt.Assert(s.t, stdout+stderr, qt.Contains, text)
	return stdout
}

// TestExitCodes guards against a script that takes a refusal or wrong usage for success.
func TestExitCodes(t *testing.T) {
	s := newSession(t)
	tests := []struct {
		line string
		code int
		text string
	}{
		{"-h", command.ExitOK, "SUBCOMMANDS"},
		{"apply -h", command.ExitOK, "-wait-limit"},
		{"", command.ExitUsage, ""},
		{"bogus", command.ExitUsage, "no command"},
		{"validate", command.ExitUsage, "one configuration file"},
		{"validate -bogus x", command.ExitUsage, "not defined"},
		{"validate -output xml x", command.ExitUsage, "text or json"},
		{"validate " + example, command.ExitOK, "no findings"},
		{"validate DIR/none.yaml", command.ExitRefused, "no such file"},
		{"validate -output json ../../examples/krpanka/answers.yaml", command.ExitRefused, `"Code": "Invalid"`},
		{"explain -workspace none " + example, command.ExitRefused, "no workspace"},
		{"explain -workspace koper -branch luka -at noon " + example, command.ExitUsage, "-at"},
		{"apply " + example, command.ExitUsage, "-address"},
		{"apply REMOTE -expected x " + example, command.ExitUsage, "-expected"},
		{"state -address 127.0.0.1:1 -key x", command.ExitRefused, "Unavailable"},
		{"history -address " + s.address + " -key wrong", command.ExitRefused, "Unauthorized"},
		{"rollback REMOTE -to 3", command.ExitUsage, "-expected"},
		{"drain REMOTE -end", command.ExitUsage, "needs one"},
	}
	for _, test := range tests {
		t.Run(test.line, func(t *testing.T) {
			s.t = t
			s.expect(test.line, test.code, test.text)
		})
	}
}

// TestOperatorsDay guards against a lost race that changes something or does not name the other
// change, a wait that ends too early or never, and a rollback or diff that shows other content.
func TestOperatorsDay(t *testing.T) {
	s := newSession(t)
	s.fleet.lag = 3
	s.expect("apply REMOTE -id first -wait "+example, command.ExitOK, "version 1 is in force on 2 live instances after 600ms")
	s.expect("diff REMOTE "+example, command.ExitOK, "")
	s.expect("show REMOTE -out DIR/mine.yaml", command.ExitOK, "wrote")
	s.replace("mine.yaml", "Timeout: 30s", "Timeout: 31s")
	s.expect("diff REMOTE DIR/mine.yaml", command.ExitRefused, "+    Timeout: 31s")
	s.expect("apply REMOTE -id second DIR/mine.yaml", command.ExitOK, "version 2")

	s.expect("apply REMOTE -id third DIR/mine.yaml", command.ExitRefused, "version 2 came first (change second by mara")
	s.expect("apply REMOTE -id second DIR/mine.yaml", command.ExitOK, "version 2")
	s.expect("rollback REMOTE -id back -to 1 -expected 1", command.ExitRefused, "change second by mara")
	s.expect("rollback REMOTE -id back -to 1 -expected 2", command.ExitOK, "version 3")
	s.expect("diff REMOTE "+example, command.ExitOK, "")

	var history []api.Change
	qt.Assert(t, json.Unmarshal([]byte(s.expect("history REMOTE -output json", command.ExitOK, "back")), &history), qt.IsNil)
	qt.Assert(t, history, qt.HasLen, 3)

	s.fleet.version, s.fleet.looks, s.fleet.lag = 4, 0, 1<<30
	s.expect("apply REMOTE -expected 3 -wait -wait-limit 2s "+example, command.ExitRefused, "not in force on e2 (version 3)")
}

// TestWorkspaces guards against operators of different workspaces who hinder each other, and against
// one who overwrites a colleague's change of the same workspace or makes a change twice.
func TestWorkspaces(t *testing.T) {
	s := newSession(t)
	s.expect("apply REMOTE "+example, command.ExitOK, "version 1")
	for _, file := range []string{"ana.yaml", "bor.yaml", "cene.yaml"} {
		s.expect("show REMOTE -out DIR/"+file, command.ExitOK, "wrote")
	}
	s.replace("ana.yaml", "Weight: 3", "Weight: 4") // The first workspace in order of name is celje.
	s.replace("cene.yaml", "Weight: 3", "Weight: 5")
	s.replace("bor.yaml", "Weight: 1", "Weight: 2") // The first small workspace is kamnik.
	s.expect("apply REMOTE -id ana -workspace celje DIR/ana.yaml", command.ExitOK, "version 2")
	s.expect("apply REMOTE -id bor -workspace kamnik DIR/bor.yaml", command.ExitOK, "version 3")
	s.expect("apply REMOTE -id cene -workspace celje DIR/cene.yaml", command.ExitRefused, "change ana by mara")
	s.expect("apply REMOTE -id ana -workspace celje DIR/ana.yaml", command.ExitOK, "version 2")
	s.expect("apply REMOTE -expected 9 -workspace celje DIR/ana.yaml", command.ExitRefused, "the newest is version 3")
	s.expect("apply REMOTE -workspace none DIR/ana.yaml", command.ExitRefused, "no workspace")
	s.expect("diff REMOTE DIR/ana.yaml", command.ExitRefused, "-    Weight: 2")
	qt.Assert(t, strings.Count(s.expect("diff REMOTE DIR/ana.yaml", command.ExitRefused, ""), "Weight: 4"), qt.Equals, 0)
}

func (s *session) replace(file, old, with string) {
	path := filepath.Join(s.directory, file)
	content, err := os.ReadFile(path)
	qt.Assert(s.t, err, qt.IsNil)
	changed := strings.Replace(string(content), old, with, 1)
	qt.Assert(s.t, changed, qt.Not(qt.Equals), string(content))
	qt.Assert(s.t, os.WriteFile(path, []byte(changed), 0o600), qt.IsNil)
}

// TestNewTeam guards against keys that are lost, overwritten, readable by others or made anew by a
// second generation, and against an interview whose answers are lost.
func TestNewTeam(t *testing.T) {
	s := newSession(t)
	s.expect("questionnaire -form -out DIR/answers.yaml", command.ExitOK, "wrote")
	s.expect("questionnaire -form -out DIR/answers.yaml", command.ExitRefused, "exists already")
	s.expect("generate -out DIR/c.yaml DIR/answers.yaml", command.ExitRefused, "-keys")
	s.expect("generate -out DIR/c.yaml -keys DIR/keys.yaml DIR/answers.yaml", command.ExitOK, "3 keys")
	info, err := os.Stat(filepath.Join(s.directory, "keys.yaml"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, info.Mode().Perm(), qt.Equals, os.FileMode(0o600))
	s.expect("validate DIR/c.yaml", command.ExitOK, "1 workspaces")
	s.expect("generate -out DIR/c.yaml DIR/answers.yaml", command.ExitOK, "wrote")
	s.replace("answers.yaml", "first-branch", "other-branch")
	s.expect("generate -out DIR/c.yaml -keys DIR/keys.yaml DIR/answers.yaml", command.ExitRefused, "not overwritten")
	s.in = "Interrupted Fleet\n"
	s.expect("questionnaire -out DIR/cut.yaml", command.ExitRefused, "ended before the last question")
	content, err := os.ReadFile(filepath.Join(s.directory, "cut.yaml"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(content), qt.Contains, "Interrupted Fleet")
}

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
	operatorKey          = "example-krpanka-operator"
	exampleConfiguration = "../../examples/krpanka/configuration.yaml"
)

// fakeFleet lists instances of which e2 reports an older version in the first lagCalls calls.
type fakeFleet struct {
	operator.Fleet

	calls, lagCalls int
	version         uint64
}

func (f *fakeFleet) Instances(context.Context) ([]api.Instance, error) {
	f.calls++
	behind := f.version
	if f.calls <= f.lagCalls {
		behind--
	}
	return []api.Instance{
		{Name: "e1", Live: true, Version: f.version},
		{Name: "e2", Live: true, Version: behind},
		{Name: "dead", Version: 0},
	}, nil
}

// testEnv runs commands in a temporary directory, against an operator server with a real configuration log.
type testEnv struct {
	t         *testing.T
	directory string
	address   string
	fleet     *fakeFleet
	now       time.Time
	stdin     string
}

func newTestEnv(t *testing.T) *testEnv {
	server, err := platform.New()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(server.Close)
	s := &testEnv{t: t, directory: t.TempDir(), fleet: &fakeFleet{version: 1}, now: time.Unix(0, 0)}
	operators := operator.AuthenticatorFunc(func(key string) (string, bool) { return "mara", key == operatorKey })
	log := logbackend.New(configlog.New(table.New(server.URL())))
	handler := httptest.NewServer(operator.NewServer(log, s.fleet, nil, operators))
	t.Cleanup(handler.Close)
	s.address = handler.URL
	return s
}

// run executes one command line in which DIR is replaced by the directory and REMOTE by -address and -key.
func (s *testEnv) run(line string) (code int, stdout, stderr string) {
	line = strings.ReplaceAll(line, "REMOTE", "-address "+s.address+" -key "+operatorKey)
	line = strings.ReplaceAll(line, "DIR", s.directory)
	var out, errs bytes.Buffer
	e := &command.Environment{
		Stdin: strings.NewReader(s.stdin), Stdout: &out, Stderr: &errs,
		Now:   func() time.Time { return s.now },
		Sleep: func(_ context.Context, d time.Duration) { s.now = s.now.Add(d) },
	}
	code = command.Main(s.t.Context(), e, strings.Fields(line))
	return code, out.String(), errs.String()
}

// expect runs a command line, checks its exit code and that its output contains text, and returns stdout.
func (s *testEnv) expect(line string, code int, text string) string {
	s.t.Helper()
	got, stdout, stderr := s.run(line)
	qt.Assert(s.t, got, qt.Equals, code, qt.Commentf("%s\n%s%s", line, stdout, stderr))
	qt.Assert(s.t, stdout+stderr, qt.Contains, text)
	return stdout
}

// TestExitCodes guards against an exit code of 0 after a refusal or invalid arguments, which a script would
// take for success.
func TestExitCodes(t *testing.T) {
	s := newTestEnv(t)
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
		{"validate " + exampleConfiguration, command.ExitOK, "no findings"},
		{"check", command.ExitUsage, "one configuration file"},
		{"check " + exampleConfiguration, command.ExitOK, "no errors, 0 warnings"},
		{"check -output json " + exampleConfiguration, command.ExitOK, `"Warnings": []`},
		{"check -address http://127.0.0.1:1 " + exampleConfiguration, command.ExitUsage, "-address and -key are required"},
		{"check -output json ../../examples/krpanka/answers.yaml", command.ExitRefused, `"Code": "Invalid"`},
		{"validate DIR/none.yaml", command.ExitRefused, "no such file"},
		{"validate -output json ../../examples/krpanka/answers.yaml", command.ExitRefused, `"Code": "Invalid"`},
		{"explain -workspace none " + exampleConfiguration, command.ExitRefused, "no workspace"},
		{"explain -workspace koper -branch luka -at noon " + exampleConfiguration, command.ExitUsage, "-at"},
		{"apply " + exampleConfiguration, command.ExitUsage, "-address"},
		{"apply REMOTE -expected x " + exampleConfiguration, command.ExitUsage, "-expected"},
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

// TestConfigurationChanges guards against a conflicting apply or rollback that changes the configuration or
// does not name the change that was accepted first, -wait that returns too early or never, and a rollback
// or diff with the content of another version.
func TestConfigurationChanges(t *testing.T) {
	s := newTestEnv(t)
	s.fleet.lagCalls = 3
	s.expect("apply REMOTE -id first -wait "+exampleConfiguration, command.ExitOK, "version 1 is in force on 2 live instances after 600ms")
	s.expect("diff REMOTE "+exampleConfiguration, command.ExitOK, "")
	s.expect("show REMOTE -out DIR/mine.yaml", command.ExitOK, "wrote")
	s.replaceInFile("mine.yaml", "Timeout: 30s", "Timeout: 31s")
	s.expect("diff REMOTE DIR/mine.yaml", command.ExitRefused, "+    Timeout: 31s")
	s.expect("check REMOTE DIR/mine.yaml", command.ExitOK, "+    Timeout: 31s")
	s.expect("check REMOTE "+exampleConfiguration, command.ExitOK, "no difference to version 1")
	s.expect("apply REMOTE -id second DIR/mine.yaml", command.ExitOK, "version 2")

	s.expect("apply REMOTE -id third DIR/mine.yaml", command.ExitRefused, "version 2 came first (change second by mara")
	s.expect("apply REMOTE -id second DIR/mine.yaml", command.ExitOK, "version 2")
	s.expect("rollback REMOTE -id back -to 1 -expected 1", command.ExitRefused, "change second by mara")
	s.expect("rollback REMOTE -id back -to 1 -expected 2", command.ExitOK, "version 3")
	s.expect("diff REMOTE "+exampleConfiguration, command.ExitOK, "")

	var history []api.Change
	qt.Assert(t, json.Unmarshal([]byte(s.expect("history REMOTE -output json", command.ExitOK, "back")), &history), qt.IsNil)
	qt.Assert(t, history, qt.HasLen, 3)

	s.fleet.version, s.fleet.calls, s.fleet.lagCalls = 4, 0, 1<<30
	s.expect("apply REMOTE -expected 3 -wait -wait-limit 2s "+exampleConfiguration, command.ExitRefused, "not in force on e2 (version 3)")
}

// TestApplyWorkspace guards against conflicts between changes of different workspaces, and against a change
// that overwrites an unseen change of the same workspace or is applied twice.
func TestApplyWorkspace(t *testing.T) {
	s := newTestEnv(t)
	s.expect("apply REMOTE "+exampleConfiguration, command.ExitOK, "version 1")
	for _, file := range []string{"ana.yaml", "bor.yaml", "cene.yaml"} {
		s.expect("show REMOTE -out DIR/"+file, command.ExitOK, "wrote")
	}
	s.replaceInFile("ana.yaml", "Weight: 3", "Weight: 4") // The first match is in celje, the first workspace by name.
	s.replaceInFile("cene.yaml", "Weight: 3", "Weight: 5")
	s.replaceInFile("bor.yaml", "Weight: 1", "Weight: 2") // The first match is in kamnik, the first small workspace.
	s.expect("apply REMOTE -id ana -workspace celje DIR/ana.yaml", command.ExitOK, "version 2")
	s.expect("apply REMOTE -id bor -workspace kamnik DIR/bor.yaml", command.ExitOK, "version 3")
	s.expect("apply REMOTE -id cene -workspace celje DIR/cene.yaml", command.ExitRefused, "change ana by mara")
	s.expect("apply REMOTE -id ana -workspace celje DIR/ana.yaml", command.ExitOK, "version 2")
	s.expect("apply REMOTE -expected 9 -workspace celje DIR/ana.yaml", command.ExitRefused, "the newest is version 3")
	s.expect("apply REMOTE -workspace none DIR/ana.yaml", command.ExitRefused, "no workspace")
	s.expect("diff REMOTE DIR/ana.yaml", command.ExitRefused, "-    Weight: 2")
	qt.Assert(t, strings.Count(s.expect("diff REMOTE DIR/ana.yaml", command.ExitRefused, ""), "Weight: 4"), qt.Equals, 0)
}

func (s *testEnv) replaceInFile(file, old, replacement string) {
	path := filepath.Join(s.directory, file)
	content, err := os.ReadFile(path)
	qt.Assert(s.t, err, qt.IsNil)
	changed := strings.Replace(string(content), old, replacement, 1)
	qt.Assert(s.t, changed, qt.Not(qt.Equals), string(content))
	qt.Assert(s.t, os.WriteFile(path, []byte(changed), 0o600), qt.IsNil)
}

// TestQuestionnaireAndGenerate guards against keys that are lost, overwritten, readable by other users or
// generated again by a second run, and against losing the answers of an interrupted questionnaire.
func TestQuestionnaireAndGenerate(t *testing.T) {
	s := newTestEnv(t)
	s.expect("questionnaire -form -out DIR/answers.yaml", command.ExitOK, "wrote")
	s.expect("questionnaire -form -out DIR/answers.yaml", command.ExitRefused, "exists already")
	s.expect("generate -out DIR/c.yaml DIR/answers.yaml", command.ExitRefused, "-keys")
	s.expect("generate -out DIR/c.yaml -keys DIR/keys.yaml DIR/answers.yaml", command.ExitOK, "3 keys")
	info, err := os.Stat(filepath.Join(s.directory, "keys.yaml"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, info.Mode().Perm(), qt.Equals, os.FileMode(0o600))
	s.expect("validate DIR/c.yaml", command.ExitOK, "1 workspaces")
	s.expect("generate -out DIR/c.yaml DIR/answers.yaml", command.ExitOK, "wrote")
	s.replaceInFile("answers.yaml", "first-branch", "other-branch")
	s.expect("generate -out DIR/c.yaml -keys DIR/keys.yaml DIR/answers.yaml", command.ExitRefused, "not overwritten")
	s.stdin = "Interrupted Fleet\n"
	s.expect("questionnaire -out DIR/cut.yaml", command.ExitRefused, "ended before the last question")
	content, err := os.ReadFile(filepath.Join(s.directory, "cut.yaml"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(content), qt.Contains, "Interrupted Fleet")
}

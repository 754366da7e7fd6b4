package questionnaire_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/finding"
	"github.com/cuminroute/cuminroute/pkg/questionnaire"
)

// TestExamples guards against committed configurations that differ from what the committed answers
// generate, and against example keys that do not follow the documented naming.
func TestExamples(t *testing.T) {
	for directory, fleet := range map[string]string{"krpanka": "krpanka", "braci-etnee": "etnee"} {
		t.Run(directory, func(t *testing.T) {
			path := "../../examples/" + directory
			answers, _, err := questionnaire.Load(path + "/answers.yaml")
			qt.Assert(t, err, qt.IsNil)
			generated, err := questionnaire.Generate(answers)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, generated.Keys, qt.HasLen, 0)
			committed, err := os.ReadFile(path + "/configuration.yaml")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(generated.Content), qt.Equals, string(committed))
			assertExampleKeys(t, path+"/configuration.yaml", "example-"+fleet)
		})
	}
}

func assertExampleKeys(t *testing.T, path, prefix string) {
	c, _, err := configuration.Load(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Workspaces, qt.HasLen, 10)
	_, ok := c.AuthenticateOperator(prefix + "-operator")
	qt.Assert(t, ok, qt.IsTrue)
	for _, w := range c.Workspaces {
		caller, _ := c.Authenticate(prefix + "-" + w.Name)
		qt.Assert(t, caller, qt.Equals, configuration.Caller{Workspace: w.Name})
		for _, b := range w.Branches {
			caller, _ := c.Authenticate(prefix + "-" + w.Name + "-" + b.Name)
			qt.Assert(t, caller, qt.Equals, configuration.Caller{Workspace: w.Name, Branch: b.Name})
		}
	}
}

// TestTemplate guards against a form that is not a valid answers file, against a key that does not match
// its hash, and against a second generation that replaces keys already in use.
func TestTemplate(t *testing.T) {
	answers, _, err := questionnaire.Parse("form.yaml", questionnaire.Template())
	qt.Assert(t, err, qt.IsNil)
	first, err := questionnaire.Generate(answers)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, first.Keys, qt.HasLen, 3)
	caller, _ := first.Configuration.Authenticate(first.Keys[2].Key)
	qt.Assert(t, caller, qt.Equals, configuration.Caller{Workspace: "first-workspace", Branch: "first-branch"})
	qt.Assert(t, string(first.Content), qt.Not(qt.Contains), first.Keys[2].Key)
	second, err := questionnaire.Generate(answers, questionnaire.WithPrevious(first.Configuration))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, second.Keys, qt.HasLen, 0)
	qt.Assert(t, string(second.Content), qt.Equals, string(first.Content))
}

// TestFindings guards against an invalid answer whose finding has a path in the generated configuration
// instead of the answers, or that is reported more than once.
func TestFindings(t *testing.T) {
	template := string(questionnaire.Template())
	tests := []struct{ name, old, with, path string }{
		{"fleet", "Fleet: Example Assistant Fleet", "Fleet: \"\"", "$.Fleet"},
		{"operator hash", "- Name: first-operator", "- {Name: first-operator, KeyHash: abc}", "$.Operators[0].KeyHash"},
		{"head office rule", "Open: 08:00", "Open: 8 o'clock", "$.Rules.OpeningHours.Open"},
		{"unknown size", "Size: Small", "Size: Huge", "$.Workspaces[0].Size"},
		{"workspace rule", "Size: Small", "Size: Small\n    Differences: {NotIdempotent: [stock/Look]}", "$.Workspaces[0].Differences.NotIdempotent[0]"},
		{"branch hash", "- Name: first-branch", "- {Name: first-branch, KeyHash: abc}", "$.Workspaces[0].Branches[0].KeyHash"},
		{"branch rule", "- Name: first-branch", "- Name: first-branch\n        Differences: {MarketDays: [Someday]}", "$.Workspaces[0].Branches[0].Differences.MarketDays[0]"},
		{"branch name", "- Name: first-branch", "- Name: first branch", "$.Workspaces[0].Branches[0].Name"},
		{"model of a pipeline", "Model: example-model", "Model: other-model", "$.Pipelines[0].Model"},
		{"unknown pipeline", "Size: Small", "Size: Small\n    Pipelines: [other]", "$.Workspaces[0].Pipelines[0]"},
		{"unknown service", "Size: Small", "Size: Small\n    Services: [other]", "$.Workspaces[0].Services[0]"},
		{"method", "Method: GET", "Method: LOOK", "$.Services[1].Requests[0].Method"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			content := strings.Replace(template, test.old, test.with, 1)
			_, _, err := questionnaire.Parse("a.yaml", []byte(content))
			var found *finding.Error
			qt.Assert(t, errors.As(err, &found), qt.IsTrue)
			qt.Assert(t, found.Findings, qt.HasLen, 1, qt.Commentf("%v", err))
			qt.Assert(t, found.Findings[0].Path, qt.Equals, test.path)
			qt.Assert(t, found.Findings[0].Line > 1, qt.IsTrue)
		})
	}
}

const session = `Test Fleet

head office
mara
08:00
07:00
18:00

y
Interactive
60
60s
darning
1
many
32
n
y
A1
1073741824
2500
0
n
y
y
orders
Reorder
POST
reorders
/reorders
n
n
n
n
guide
darning
n
n
one
Small
n
y
market
y
n
y
Tuesday, Saturday
n
n
n
n
n
`

// TestAsk guards against invalid answers that are accepted, against answers from which no valid answers
// file can be written, and against lost answers when the input ends early.
func TestAsk(t *testing.T) {
	var out strings.Builder
	answers, err := questionnaire.Ask(strings.NewReader(session), &out)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out.String()))
	qt.Assert(t, strings.Count(out.String(), "Not accepted"), qt.Equals, 5, qt.Commentf("%s", out.String()))
	content, err := questionnaire.Marshal(answers)
	qt.Assert(t, err, qt.IsNil)
	again, _, err := questionnaire.Parse("answers.yaml", content)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", content))
	qt.Assert(t, *again.Workspaces[0].Branches[0].Differences.MarketDays, qt.DeepEquals, []string{"Tuesday", "Saturday"})
	qt.Assert(t, again.Accelerators, qt.DeepEquals, []configuration.Accelerator{{Name: "A1", MemoryBytes: 1 << 30, Rate: 2500}})
	qt.Assert(t, again.Placement.Managed, qt.IsTrue)

	truncated := session[:strings.Index(session, "/reorders")]
	answers, err = questionnaire.Ask(strings.NewReader(truncated), &out)
	qt.Assert(t, err, qt.ErrorIs, questionnaire.ErrIncomplete)
	qt.Assert(t, answers.Models[0].Layers, qt.Equals, 32)
}

package questionnaire

import (
	"bufio"
	"io"
	"time"

	"github.com/cuminroute/cuminroute/pkg/configuration"
)

// Ask writes every question to out and reads the answers from in, one per line. It repeats a question
// whose answer is invalid. If the input ends early, Ask returns the answers so far and ErrIncomplete.
func Ask(in io.Reader, out io.Writer) (*Answers, error) {
	q := &asker{in: bufio.NewScanner(in), out: out, answers: &Answers{}}
	q.fleet()
	q.models()
	q.accelerators()
	q.services()
	q.pipelines()
	q.workspaces()
	if err := q.in.Err(); err != nil {
		return q.answers, err
	}
	if q.ended {
		return q.answers, ErrIncomplete
	}
	return q.answers, nil
}

func (q *asker) fleet() {
	a := q.answers
	q.text("$.Fleet", "Name of the fleet", "", &a.Fleet)
	q.text("$.TimeZone", "Time zone of opening hours", "Europe/Ljubljana", &a.TimeZone)
	a.Operators = append(a.Operators, Operator{})
	q.text("$.Operators[0].Name", "Name of the first operator", "", &a.Operators[0].Name)
	q.overrides("$.Rules", &a.Rules, false)
}

func (q *asker) models() {
	for again := !q.ended; again; again = q.yes("Another model?", false) {
		i := len(q.answers.Models)
		q.answers.Models = append(q.answers.Models, configuration.Model{})
		m := &q.answers.Models[i]
		path := formatPath("$.Models[%d]", i)
		q.text(path+".Name", "Name of the model", "", &m.Name)
		q.text(path+".Version", "Version of the model", "1", &m.Version)
		q.number(path+".Layers", "Number of layers of the model", &m.Layers)
	}
}

func (q *asker) accelerators() {
	for again := q.yes("Describe the accelerators, for the throughput bound and the placement of layers?", false); again; again = q.yes("Another kind of accelerator?", false) {
		i := len(q.answers.Accelerators)
		q.answers.Accelerators = append(q.answers.Accelerators, configuration.Accelerator{})
		a := &q.answers.Accelerators[i]
		path := formatPath("$.Accelerators[%d]", i)
		q.text(path+".Name", "Name of the kind, as engines report it", "", &a.Name)
		q.number(path+".MemoryBytes", "Memory for weights in bytes", &a.MemoryBytes)
		q.number(path+".Rate", "Rate in layer-steps/s", &a.Rate)
		q.number(path+".Link", "Link in bytes/s, 0 if it does not limit", &a.Link)
	}
	if len(q.answers.Accelerators) > 0 {
		q.answers.Placement.Managed = q.yes("Assign layers to engines by orders?", false)
	}
}

func (q *asker) services() {
	for again := q.yes("Is there a service beside the models, such as orders?", true); again; again = q.yes("Another service?", false) {
		i := len(q.answers.Services)
		q.answers.Services = append(q.answers.Services, Service{})
		s := &q.answers.Services[i]
		path := formatPath("$.Services[%d]", i)
		q.text(path+".Name", "Name of the service", "", &s.Name)
		for more := !q.ended; more; more = q.yes("Another kind of request to "+s.Name+"?", false) {
			q.requestKind(path, s)
		}
	}
}

func (q *asker) requestKind(path string, s *Service) {
	path = formatPath("%s.Requests[%d]", path, len(s.Requests))
	s.Requests = append(s.Requests, RequestKind{})
	r := &s.Requests[len(s.Requests)-1]
	q.text(path+".Name", "Name of the kind of request, such as Reorder", "", &r.Name)
	q.text(path+".Method", "HTTP method", "POST", &r.Method)
	q.text(path+".Path", "Path below the service, such as /reorders", "", &r.Path)
	r.MayRepeat = q.yes("May it be executed twice without harm?", false)
	r.PhoneOnly = q.yes("May only branches that take orders by phone send it?", false)
}

func (q *asker) pipelines() {
	for again := !q.ended; again; again = q.yes("Another pipeline?", false) {
		i := len(q.answers.Pipelines)
		q.answers.Pipelines = append(q.answers.Pipelines, configuration.Pipeline{})
		p := &q.answers.Pipelines[i]
		path := formatPath("$.Pipelines[%d]", i)
		q.text(path+".Name", "Name of the pipeline, as callers give it", "", &p.Name)
		q.text(path+".Model", "Model of the pipeline", q.answers.firstModel(), &p.Model)
		if q.yes("Does it have a priority of its own, whatever the branch?", false) {
			q.priority(path+".Priority", &p.Priority)
		}
	}
}

func (a *Answers) firstModel() string {
	if len(a.Models) == 0 {
		return ""
	}
	return a.Models[0].Name
}

func (q *asker) workspaces() {
	for again := !q.ended; again; again = q.yes("Another workspace?", false) {
		i := len(q.answers.Workspaces)
		q.answers.Workspaces = append(q.answers.Workspaces, Workspace{})
		w := &q.answers.Workspaces[i]
		path := formatPath("$.Workspaces[%d]", i)
		q.text(path+".Name", "Name of the workspace", "", &w.Name)
		q.ask(path+".Size", "Size: Small, Medium or Large", string(Small), func(answer string) error {
			w.Size = Size(answer)
			return nil
		})
		q.differences(path, "workspace", &w.Differences)
		for more := q.yes("Does it have branches?", true); more; more = q.yes("Another branch?", false) {
			q.branch(path, w)
		}
	}
}

func (q *asker) branch(path string, w *Workspace) {
	path = formatPath("%s.Branches[%d]", path, len(w.Branches))
	w.Branches = append(w.Branches, Branch{})
	b := &w.Branches[len(w.Branches)-1]
	q.text(path+".Name", "Name of the branch", "", &b.Name)
	q.differences(path, "branch", &b.Differences)
}

func (q *asker) differences(path, level string, o *configuration.Overrides) {
	if q.yes("Does the "+level+" differ from the rules above it?", false) {
		q.overrides(path+".Differences", o, true)
	}
}

// overrides asks for each rule. If optional is true, it first asks whether the rule differs.
func (q *asker) overrides(path string, o *configuration.Overrides, optional bool) {
	wanted := func(rule string) bool { return !q.ended && (!optional || q.yes("Other "+rule+"?", false)) }
	if wanted("opening hours") {
		q.hours(path+".OpeningHours", o)
	}
	if wanted("market days") {
		o.MarketDays = &[]string{}
		q.words(path+".MarketDays", "Weekdays, such as Tuesday Saturday; nothing for every day", "", o.MarketDays)
	}
	if wanted("answer about phone orders") {
		phone := q.yes("Are orders taken by phone?", false)
		o.PhoneOrders = &phone
	}
	if wanted("priority") {
		o.Priority = new(configuration.Priority)
		q.priority(path+".Priority", o.Priority)
	}
	if wanted("timeout") {
		o.Timeout = new(time.Duration)
		q.duration(path+".Timeout", "Longest useful time for an answer", "60s", o.Timeout)
	}
}

func (q *asker) hours(path string, o *configuration.Overrides) {
	hours := &configuration.Hours{Close: "24:00"}
	o.OpeningHours = hours
	q.text(path+".Open", "Opens at", "08:00", &hours.Open)
	q.text(path+".Close", "Closes at", "18:00", &hours.Close)
}

func (q *asker) priority(path string, into *configuration.Priority) {
	q.ask(path, "Priority: Schedule, Interactive or Batch", string(configuration.Interactive), func(answer string) error {
		*into = configuration.Priority(answer)
		return nil
	})
}

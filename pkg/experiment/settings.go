package experiment

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cuminroute/cuminroute/pkg/catalogue"
	"github.com/cuminroute/cuminroute/pkg/finding"
	"github.com/cuminroute/cuminroute/pkg/target"
	"github.com/cuminroute/cuminroute/pkg/yamlfile"
)

// Settings describe an experiment.
type Settings struct {
	Seed         uint64        `yaml:"Seed"`
	Length       time.Duration `yaml:"Length"`    // Length is how long requests arrive. What runs then is served to its end.
	Instances    int           `yaml:"Instances"` // Instances is the number of entry instances.
	Exchange     time.Duration `yaml:"Exchange"`  // Exchange is the interval at which instances tell each other of their load.
	Policies     []string      `yaml:"Policies"`
	Model        Model         `yaml:"Model"`
	Accelerators []Accelerator `yaml:"Accelerators"`
	Fleet        []Group       `yaml:"Fleet"`
	Requests     Requests      `yaml:"Requests"`
	Bursts       []Burst       `yaml:"Bursts"`
	Losses       []Loss        `yaml:"Losses"`
}

// Model is the model that the fleet runs.
type Model struct {
	Layers          int           `yaml:"Layers"`
	LayerMegabytes  int           `yaml:"LayerMegabytes"`
	CacheBytes      int           `yaml:"CacheBytes"`      // CacheBytes is the memory of one token over all layers.
	Capacity        int           `yaml:"Capacity"`        // Capacity is the tokens that the requests of a whole replica are meant to hold.
	Step            time.Duration `yaml:"Step"`            // Step is the time of a pass over all layers, without its requests.
	PerSequence     time.Duration `yaml:"PerSequence"`     // PerSequence is what each request adds to a pass.
	PerContext      time.Duration `yaml:"PerContext"`      // PerContext is what each 1,000 tokens of a request add to a pass.
	ReadRate        int           `yaml:"ReadRate"`        // ReadRate is in prompt tokens a second, over all layers.
	ActivationBytes int           `yaml:"ActivationBytes"` // ActivationBytes is what one token carries from one target to the next.
	PipeMegabits    int           `yaml:"PipeMegabits"`    // PipeMegabits is the rate of the pipe between two data centres, in Mbit/s.
	PipeDelay       time.Duration `yaml:"PipeDelay"`
}

// Accelerator is a kind of hardware.
type Accelerator struct {
	Name        string `yaml:"Name"`
	Megabytes   int    `yaml:"Megabytes"`
	StepPercent int    `yaml:"StepPercent"` // StepPercent is the time of a pass, relative to the model's.
	ReadPercent int    `yaml:"ReadPercent"` // ReadPercent is the time to read a prompt, relative to the model's.
}

// Group is some targets of one kind in one data centre.
type Group struct {
	DataCentre  string `yaml:"DataCentre"`
	Accelerator string `yaml:"Accelerator"`
	Count       int    `yaml:"Count"`
}

// Requests are what callers send. Sizes are drawn around their means.
type Requests struct {
	PerSecond  int           `yaml:"PerSecond"`
	Prompt     int           `yaml:"Prompt"`
	Answer     int           `yaml:"Answer"`
	FirstEvent time.Duration `yaml:"FirstEvent"` // FirstEvent is the goal for the first event.
	Pause      time.Duration `yaml:"Pause"`      // Pause is the goal for the longest pause between events.
}

// Burst multiplies the requests for a time.
type Burst struct {
	From    time.Duration `yaml:"From"`
	To      time.Duration `yaml:"To"`
	Percent int           `yaml:"Percent"`
}

// Loss is targets that die.
type Loss struct {
	At          time.Duration `yaml:"At"`
	Accelerator string        `yaml:"Accelerator"`
	Count       int           `yaml:"Count"`
}

// Load reads and checks an experiment. Findings are returned as *finding.Error.
func Load(file string) (*Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, content)
}

// Parse reads and checks the content of a file.
func Parse(file string, content []byte) (*Settings, error) {
	var s Settings
	places, findings := yamlfile.Decode(file, content, &s)
	places.AddUnreported(&findings, s.check())
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// checker collects the findings of an experiment.
type checker struct {
	findings []finding.Finding
}

func (c *checker) require(ok bool, path string, value any, rule, accepted string) {
	if !ok {
		c.findings = append(c.findings, finding.Finding{Path: path, Value: fmt.Sprint(value), Rule: rule, Accepted: accepted})
	}
}

func (c *checker) positive(path string, value int) {
	c.require(value > 0, path, value, "The value must be positive", "a whole number above 0")
}

func (c *checker) duration(path string, value time.Duration) {
	c.require(value > 0, path, value, "The duration must be positive", "a duration such as 30s")
}

func (s *Settings) check() []finding.Finding {
	var c checker
	c.duration("$.Length", s.Length)
	c.duration("$.Exchange", s.Exchange)
	c.positive("$.Instances", s.Instances)
	for i, name := range s.Policies {
		_, known := policies[name]
		c.require(known, fmt.Sprintf("$.Policies[%d]", i), name, "The policy is not known", strings.Join(policyNames(), ", "))
	}
	s.checkModel(&c)
	s.checkFleet(&c)
	c.positive("$.Requests.PerSecond", s.Requests.PerSecond)
	c.positive("$.Requests.Prompt", s.Requests.Prompt)
	c.positive("$.Requests.Answer", s.Requests.Answer)
	c.duration("$.Requests.FirstEvent", s.Requests.FirstEvent)
	c.duration("$.Requests.Pause", s.Requests.Pause)
	for i, b := range s.Bursts {
		path := fmt.Sprintf("$.Bursts[%d]", i)
		c.positive(path+".Percent", b.Percent)
		c.require(b.From < b.To, path+".To", b.To, "A burst ends after it begins", "a duration above "+b.From.String())
	}
	for i, l := range s.Losses {
		s.checkAccelerator(&c, fmt.Sprintf("$.Losses[%d].Accelerator", i), l.Accelerator)
		c.positive(fmt.Sprintf("$.Losses[%d].Count", i), l.Count)
	}
	return c.findings
}

func (s *Settings) checkModel(c *checker) {
	c.positive("$.Model.Layers", s.Model.Layers)
	c.positive("$.Model.LayerMegabytes", s.Model.LayerMegabytes)
	c.positive("$.Model.CacheBytes", s.Model.CacheBytes)
	c.positive("$.Model.Capacity", s.Model.Capacity)
	c.positive("$.Model.ReadRate", s.Model.ReadRate)
	c.positive("$.Model.PipeMegabits", s.Model.PipeMegabits)
	c.duration("$.Model.Step", s.Model.Step)
}

func (s *Settings) checkFleet(c *checker) {
	for i, a := range s.Accelerators {
		path := fmt.Sprintf("$.Accelerators[%d]", i)
		c.positive(path+".Megabytes", a.Megabytes)
		c.positive(path+".StepPercent", a.StepPercent)
		c.positive(path+".ReadPercent", a.ReadPercent)
	}
	c.require(len(s.Fleet) > 0, "$.Fleet", len(s.Fleet), "The fleet has no targets", "one group or more")
	for i, g := range s.Fleet {
		path := fmt.Sprintf("$.Fleet[%d]", i)
		s.checkAccelerator(c, path+".Accelerator", g.Accelerator)
		c.positive(path+".Count", g.Count)
		c.require(g.DataCentre != "", path+".DataCentre", g.DataCentre, "The data centre has no name", "a name")
	}
}

func (s *Settings) checkAccelerator(c *checker, path, name string) {
	known := make([]string, len(s.Accelerators))
	for i, a := range s.Accelerators {
		known[i] = a.Name
	}
	c.require(slices.Contains(known, name), path, name, "The accelerator is not described", strings.Join(known, ", "))
}

const (
	megabyte = 1_000_000
	// megabit is in bytes.
	megabit = 1_000_000 / 8
	percent = 0.01
)

// engine returns the model as the product's decisions know it.
func (s *Settings) engine() *catalogue.Engine {
	e := &catalogue.Engine{
		Model: "experiment", Layers: s.Model.Layers, LayerBytes: int64(s.Model.LayerMegabytes) * megabyte,
		KVBytesPerToken: int64(s.Model.CacheBytes), KVCapacity: s.Model.Capacity, BaseStepTime: s.Model.Step,
		StepTimePerSequence: s.Model.PerSequence, StepTimePerKToken: s.Model.PerContext, PrefillRate: float64(s.Model.ReadRate),
		ActivationBytes: int64(s.Model.ActivationBytes), LinkBandwidth: float64(s.Model.PipeMegabits) * megabit,
		Accelerators: make(map[string]catalogue.Accelerator), Delays: make(map[[2]string]time.Duration),
		TypicalPromptTokens: s.Requests.Prompt, TypicalOutputTokens: s.Requests.Answer,
	}
	for _, a := range s.Accelerators {
		e.Accelerators[a.Name] = catalogue.Accelerator{
			MemoryBytes: int64(a.Megabytes) * megabyte, StepFactor: percent * float64(a.StepPercent), PrefillFactor: percent * float64(a.ReadPercent),
		}
	}
	centres := s.dataCentres()
	for _, from := range centres {
		for _, to := range centres {
			if from != to {
				e.Delays[[2]string{from, to}] = s.Model.PipeDelay
			}
		}
	}
	return e
}

// targets returns the fleet without layers.
func (s *Settings) targets() []target.Target {
	var all []target.Target
	for _, g := range s.Fleet {
		for range g.Count {
			all = append(all, target.Target{
				Name: fmt.Sprintf("%s-%s-%d", g.DataCentre, g.Accelerator, len(all)), Kind: target.Engine, DataCentre: g.DataCentre,
				Accelerator: g.Accelerator, State: target.Live, Service: "experiment",
			})
		}
	}
	return all
}

// dataCentres returns the names of the data centres, each once.
func (s *Settings) dataCentres() []string {
	var names []string
	for _, g := range s.Fleet {
		if !slices.Contains(names, g.DataCentre) {
			names = append(names, g.DataCentre)
		}
	}
	return names
}

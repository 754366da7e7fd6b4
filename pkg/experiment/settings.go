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
	Seed               uint64          `yaml:"Seed"`
	Duration           time.Duration   `yaml:"Length"`    // Duration is the time in which requests arrive. Those running then may complete.
	Instances          int             `yaml:"Instances"` // Instances is the number of instances that serve requests.
	LoadReportInterval time.Duration   `yaml:"Exchange"`  // LoadReportInterval is the interval at which instances send their load to each other.
	Policies           []string        `yaml:"Policies"`
	Model              Model           `yaml:"Model"`
	Accelerators       []Accelerator   `yaml:"Accelerators"`
	Fleet              []TargetGroup   `yaml:"Fleet"`
	Requests           Requests        `yaml:"Requests"`
	Bursts             []Burst         `yaml:"Bursts"`
	Failures           []TargetFailure `yaml:"Losses"`
}

// Model is the model that all targets run.
type Model struct {
	Layers              int           `yaml:"Layers"`
	LayerMegabytes      int           `yaml:"LayerMegabytes"`
	KVBytesPerToken     int           `yaml:"CacheBytes"`      // KVBytesPerToken is the KV cache memory of one token over all layers.
	KVCapacity          int           `yaml:"Capacity"`        // KVCapacity is the number of tokens for which a replica should have KV cache memory.
	BaseStepTime        time.Duration `yaml:"Step"`            // BaseStepTime is the time of a pass over all layers before the times that its requests add.
	StepTimePerSequence time.Duration `yaml:"PerSequence"`     // StepTimePerSequence is the time that each request adds to a pass.
	StepTimePerKToken   time.Duration `yaml:"PerContext"`      // StepTimePerKToken is the time that each 1,000 tokens of a request add to a pass.
	PrefillRate         int           `yaml:"ReadRate"`        // PrefillRate is in prompt tokens per second, over all layers.
	ActivationBytes     int           `yaml:"ActivationBytes"` // ActivationBytes is the size of the activations that one target sends to the next for each token.
	LinkMegabits        int           `yaml:"PipeMegabits"`    // LinkMegabits is the bandwidth of the link between two data centres, in Mbit/s.
	LinkDelay           time.Duration `yaml:"PipeDelay"`
}

// Accelerator is a type of accelerator hardware.
type Accelerator struct {
	Name            string `yaml:"Name"`
	MemoryMegabytes int    `yaml:"Megabytes"`
	StepPercent     int    `yaml:"StepPercent"` // StepPercent is the time of a pass, in percent of the model's.
	PrefillPercent  int    `yaml:"ReadPercent"` // PrefillPercent is the prefill time, in percent of the model's.
}

// TargetGroup is a number of targets with the same accelerator in one data centre.
type TargetGroup struct {
	DataCentre  string `yaml:"DataCentre"`
	Accelerator string `yaml:"Accelerator"`
	Count       int    `yaml:"Count"`
}

// Requests describes the requests that clients send, and their latency goals.
type Requests struct {
	PerSecond        int           `yaml:"PerSecond"`
	MeanPromptTokens int           `yaml:"Prompt"`
	MeanOutputTokens int           `yaml:"Answer"`
	FirstEventGoal   time.Duration `yaml:"FirstEvent"` // FirstEventGoal is the latency goal for the first event.
	EventGapGoal     time.Duration `yaml:"Pause"`      // EventGapGoal is the goal for the longest event gap.
}

// Burst changes the request rate for a time, in percent of the normal rate.
type Burst struct {
	From    time.Duration `yaml:"From"`
	To      time.Duration `yaml:"To"`
	Percent int           `yaml:"Percent"`
}

// TargetFailure kills a number of targets with one accelerator.
type TargetFailure struct {
	At          time.Duration `yaml:"At"`
	Accelerator string        `yaml:"Accelerator"`
	Count       int           `yaml:"Count"`
}

// Load reads and validates the settings in a file. It returns findings as *finding.Error.
func Load(file string) (*Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, content)
}

// Parse decodes and validates the content of a settings file.
func Parse(file string, content []byte) (*Settings, error) {
	var s Settings
	positions, findings := yamlfile.Decode(file, content, &s)
	positions.AddUnreported(&findings, s.validate())
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// validator collects the findings in the settings.
type validator struct {
	findings []finding.Finding
}

func (v *validator) require(ok bool, path string, value any, rule, accepted string) {
	if !ok {
		v.findings = append(v.findings, finding.Finding{Path: path, Value: fmt.Sprint(value), Rule: rule, Accepted: accepted})
	}
}

func (v *validator) positive(path string, value int) {
	v.require(value > 0, path, value, "The value must be positive", "a whole number above 0")
}

func (v *validator) positiveDuration(path string, value time.Duration) {
	v.require(value > 0, path, value, "The duration must be positive", "a duration such as 30s")
}

func (s *Settings) validate() []finding.Finding {
	var v validator
	v.positiveDuration("$.Length", s.Duration)
	v.positiveDuration("$.Exchange", s.LoadReportInterval)
	v.positive("$.Instances", s.Instances)
	for i, name := range s.Policies {
		_, known := policies[name]
		v.require(known, fmt.Sprintf("$.Policies[%d]", i), name, "The policy is not known", strings.Join(policyNames(), ", "))
	}
	s.validateModel(&v)
	s.validateFleet(&v)
	v.positive("$.Requests.PerSecond", s.Requests.PerSecond)
	v.positive("$.Requests.Prompt", s.Requests.MeanPromptTokens)
	v.positive("$.Requests.Answer", s.Requests.MeanOutputTokens)
	v.positiveDuration("$.Requests.FirstEvent", s.Requests.FirstEventGoal)
	v.positiveDuration("$.Requests.Pause", s.Requests.EventGapGoal)
	for i, b := range s.Bursts {
		path := fmt.Sprintf("$.Bursts[%d]", i)
		v.positive(path+".Percent", b.Percent)
		v.require(b.From < b.To, path+".To", b.To, "A burst ends after it begins", "a duration above "+b.From.String())
	}
	for i, f := range s.Failures {
		s.validateAccelerator(&v, fmt.Sprintf("$.Losses[%d].Accelerator", i), f.Accelerator)
		v.positive(fmt.Sprintf("$.Losses[%d].Count", i), f.Count)
	}
	return v.findings
}

func (s *Settings) validateModel(v *validator) {
	v.positive("$.Model.Layers", s.Model.Layers)
	v.positive("$.Model.LayerMegabytes", s.Model.LayerMegabytes)
	v.positive("$.Model.CacheBytes", s.Model.KVBytesPerToken)
	v.positive("$.Model.Capacity", s.Model.KVCapacity)
	v.positive("$.Model.ReadRate", s.Model.PrefillRate)
	v.positive("$.Model.PipeMegabits", s.Model.LinkMegabits)
	v.positiveDuration("$.Model.Step", s.Model.BaseStepTime)
}

func (s *Settings) validateFleet(v *validator) {
	for i, a := range s.Accelerators {
		path := fmt.Sprintf("$.Accelerators[%d]", i)
		v.positive(path+".Megabytes", a.MemoryMegabytes)
		v.positive(path+".StepPercent", a.StepPercent)
		v.positive(path+".ReadPercent", a.PrefillPercent)
	}
	v.require(len(s.Fleet) > 0, "$.Fleet", len(s.Fleet), "The fleet has no targets", "one group or more")
	for i, g := range s.Fleet {
		path := fmt.Sprintf("$.Fleet[%d]", i)
		s.validateAccelerator(v, path+".Accelerator", g.Accelerator)
		v.positive(path+".Count", g.Count)
		v.require(g.DataCentre != "", path+".DataCentre", g.DataCentre, "The data centre has no name", "a name")
	}
}

func (s *Settings) validateAccelerator(v *validator, path, name string) {
	known := make([]string, len(s.Accelerators))
	for i, a := range s.Accelerators {
		known[i] = a.Name
	}
	v.require(slices.Contains(known, name), path, name, "The accelerator is not described", strings.Join(known, ", "))
}

const (
	megabyte = 1_000_000
	// megabit is a number of bytes.
	megabit = 1_000_000 / 8
	percent = 0.01
)

// engine returns the model in the form that path and layout decisions take.
func (s *Settings) engine() *catalogue.Engine {
	e := &catalogue.Engine{
		Model: "experiment", Layers: s.Model.Layers, LayerBytes: int64(s.Model.LayerMegabytes) * megabyte,
		KVBytesPerToken: int64(s.Model.KVBytesPerToken), KVCapacity: s.Model.KVCapacity, BaseStepTime: s.Model.BaseStepTime,
		StepTimePerSequence: s.Model.StepTimePerSequence, StepTimePerKToken: s.Model.StepTimePerKToken, PrefillRate: float64(s.Model.PrefillRate),
		ActivationBytes: int64(s.Model.ActivationBytes), LinkBandwidth: float64(s.Model.LinkMegabits) * megabit,
		Accelerators: make(map[string]catalogue.Accelerator), Delays: make(map[[2]string]time.Duration),
		TypicalPromptTokens: s.Requests.MeanPromptTokens, TypicalOutputTokens: s.Requests.MeanOutputTokens,
	}
	for _, a := range s.Accelerators {
		e.Accelerators[a.Name] = catalogue.Accelerator{
			MemoryBytes: int64(a.MemoryMegabytes) * megabyte, StepFactor: percent * float64(a.StepPercent), PrefillFactor: percent * float64(a.PrefillPercent),
		}
	}
	centres := s.dataCentres()
	for _, from := range centres {
		for _, to := range centres {
			if from != to {
				e.Delays[[2]string{from, to}] = s.Model.LinkDelay
			}
		}
	}
	return e
}

// targets returns the targets of the fleet, without layers.
func (s *Settings) targets() []target.Target {
	var targets []target.Target
	for _, g := range s.Fleet {
		for range g.Count {
			targets = append(targets, target.Target{
				Name: fmt.Sprintf("%s-%s-%d", g.DataCentre, g.Accelerator, len(targets)), Kind: target.Engine, DataCentre: g.DataCentre,
				Accelerator: g.Accelerator, State: target.Live, Service: "experiment",
			})
		}
	}
	return targets
}

// dataCentres returns the distinct names of the data centres.
func (s *Settings) dataCentres() []string {
	var names []string
	for _, g := range s.Fleet {
		if !slices.Contains(names, g.DataCentre) {
			names = append(names, g.DataCentre)
		}
	}
	return names
}

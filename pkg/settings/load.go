package settings

import (
	"flag"
	"os"

	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3"

	"github.com/cuminroute/cuminroute/pkg/finding"
	"github.com/cuminroute/cuminroute/pkg/yamlfile"
)

// EnvironmentPrefix starts the name of every environment variable that overrides a setting.
const EnvironmentPrefix = "CUMINROUTED"

var namespace = errorx.NewNamespace("settings").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

var (
	// ErrUsage means that the command line could not be understood.
	ErrUsage = namespace.NewType("usage")
	// ErrFile means that the settings file could not be read.
	ErrFile = namespace.NewType("file")
)

// Load reads the settings that the command line names. Faults of the settings are returned as
// a *finding.Error that holds all of them.
func Load(args []string) (Settings, error) {
	var written file
	path, err := parseFlags(args, &written)
	if err != nil {
		return Settings{}, err
	}
	overrides := written
	var places *yamlfile.Positions
	var findings finding.List
	if path != "" {
		content, err := os.ReadFile(path)
		if err != nil {
			return Settings{}, ErrFile.Wrap(err, "the settings file could not be read")
		}
		written = file{}
		places, findings = yamlfile.Decode(path, content, &written)
	}
	written.override(overrides)
	return check(written, places, &findings)
}

func parseFlags(args []string, f *file) (path string, err error) {
	fs := flag.NewFlagSet("cuminrouted", flag.ContinueOnError)
	fs.StringVar(&path, "config", "", "path of the settings `file`")
	for _, v := range f.overridable() {
		fs.StringVar(v.value, v.flag, "", v.usage)
	}
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(EnvironmentPrefix)); err != nil {
		return "", ErrUsage.Wrap(err, "the command line could not be understood")
	}
	if fs.NArg() > 0 {
		return "", ErrUsage.New("unexpected argument %q", fs.Arg(0))
	}
	return path, nil
}

type overridable struct {
	flag  string
	usage string
	value *string
}

// overridable lists the settings that differ between the instances of one deployment.
func (f *file) overridable() []overridable {
	return []overridable{
		{"instance", "unique `name` of this instance", &f.Instance},
		{"data-centre", "`name` of the data centre", &f.DataCentre},
		{"fleet", "`name` of the fleet", &f.Fleet},
		{"listen-callers", "`address` for callers, such as 10.0.0.1:8080", &f.Listen.Callers},
		{"listen-operators", "`address` for operators", &f.Listen.Operators},
		{"listen-peers", "`address` for other instances, TCP and UDP", &f.Listen.Peers},
		{"table", "base `URL` of the table service", &f.Platform.Table},
		{"object-store", "base `URL` of the object store", &f.Platform.ObjectStore},
		{"instance-list", "base `URL` of the instance list", &f.Platform.InstanceList},
		{"weight-store", "base `URL` of the weight store", &f.Platform.WeightStore},
		{"stop-notice", "`time` as not ready before requests are refused, such as 1s", &f.StopNotice},
		{"log-level", "debug, info, warn or error", &f.LogLevel},
		{"routing", "`policy` by which targets are chosen", &f.Routing},
	}
}

// override replaces the values that are set in other.
func (f *file) override(other file) {
	theirs := other.overridable()
	for i, mine := range f.overridable() {
		if *theirs[i].value != "" {
			*mine.value = *theirs[i].value
		}
	}
}

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
	// ErrUsage means that the command line is invalid.
	ErrUsage = namespace.NewType("usage")
	// ErrFile means that the settings file cannot be read.
	ErrFile = namespace.NewType("file")
)

// Load reads the settings from the command line, the environment and the settings file, in this order of
// precedence. For invalid settings, the error is a *finding.Error with all findings.
func Load(args []string) (Settings, error) {
	var f file
	path, err := parseFlags(args, &f)
	if err != nil {
		return Settings{}, err
	}
	overrides := f
	var positions *yamlfile.Positions
	var findings finding.List
	if path != "" {
		content, err := os.ReadFile(path)
		if err != nil {
			return Settings{}, ErrFile.Wrap(err, "cannot read the settings file")
		}
		f = file{}
		positions, findings = yamlfile.Decode(path, content, &f)
	}
	f.override(overrides)
	return check(f, positions, &findings)
}

// parseFlags sets the overridable settings in f from flags and environment variables, and returns the path of the
// settings file, which is empty if there is none.
func parseFlags(args []string, f *file) (path string, err error) {
	fs := flag.NewFlagSet("cuminrouted", flag.ContinueOnError)
	fs.StringVar(&path, "config", "", "path of the settings `file`")
	for _, v := range f.overridableSettings() {
		fs.StringVar(v.value, v.flag, "", v.usage)
	}
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(EnvironmentPrefix)); err != nil {
		return "", ErrUsage.Wrap(err, "invalid command line")
	}
	if fs.NArg() > 0 {
		return "", ErrUsage.New("unexpected argument %q", fs.Arg(0))
	}
	return path, nil
}

// overridableSetting is a setting that a flag or an environment variable overrides.
type overridableSetting struct {
	flag  string
	usage string
	value *string
}

// overridableSettings lists the settings that differ between the instances of one deployment.
func (f *file) overridableSettings() []overridableSetting {
	return []overridableSetting{
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

// override replaces values in f by the overridable values of other that are not empty.
func (f *file) override(other file) {
	from := other.overridableSettings()
	for i, to := range f.overridableSettings() {
		if *from[i].value != "" {
			*to.value = *from[i].value
		}
	}
}

package command

import (
	"context"
	"fmt"

	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cuminroute/cuminroute/pkg/configlint"
	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/finding"
)

const checkHelp = `Lists every error of the file, then the entries that can never match a request or that contradict others, and,
with -address and -key, what differs from the newest accepted configuration. Nothing is sent. The exit code is 1 if there are errors or
warnings; a difference alone does not change it.

` + remoteHelp

// errWarnings is returned if there are warnings, so that the exit code is ExitRefused.
var errWarnings = errorx.NewNamespace("command").NewType("warnings").New("the configuration has entries without effect")

func newCheck(e *Environment) *ffcli.Command {
	set := e.flagSet("check")
	r := newRemoteFlags(set)
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "cuminroute check [-address <url> -key <key>] [-output json] <configuration.yaml>",
		ShortHelp:  "check a configuration before it is sent: errors, entries without effect, differences",
		LongHelp:   checkHelp,
		FlagSet:    set,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageErrorf("check needs one configuration file")
			}
			return e.check(ctx, r, args[0])
		},
	}
}

// checkResult is the JSON output of the check command for a configuration without errors.
type checkResult struct {
	Warnings []finding.Finding `json:"Warnings"`
	Compared bool              `json:"Compared"` // Compared means that the file was compared with the newest accepted configuration.
	Version  uint64            `json:"Version"`  // Version is the newest accepted version.
	Diff     string            `json:"Diff"`
}

func (e *Environment) check(ctx context.Context, r *remoteFlags, path string) error {
	local, positions, err := configuration.Load(path)
	if err != nil {
		return e.reportError(err, r.format)
	}
	result := checkResult{Warnings: []finding.Finding{}}
	for _, warning := range configlint.Warnings(local) {
		result.Warnings = append(result.Warnings, positions.Locate(warning))
	}
	if *r.address != "" || *r.key != "" {
		version, text, err := e.compareWithNewest(ctx, r, path, local)
		if err != nil {
			return err
		}
		result.Compared, result.Version, result.Diff = true, version, string(text)
	}
	if err := e.writeResult(r.format, result, func() { e.writeCheck(path, result) }); err != nil {
		return err
	}
	if len(result.Warnings) > 0 {
		return errWarnings
	}
	return nil
}

func (e *Environment) writeCheck(path string, result checkResult) {
	for _, warning := range result.Warnings {
		_, _ = fmt.Fprintf(e.Stdout, "warning: %s\n", warning)
	}
	_, _ = fmt.Fprintf(e.Stdout, "%s: no errors, %d warnings\n", path, len(result.Warnings))
	switch {
	case result.Compared && result.Diff == "":
		_, _ = fmt.Fprintf(e.Stdout, "no difference to version %d\n", result.Version)
	case result.Compared:
		_, _ = fmt.Fprint(e.Stdout, result.Diff)
	}
}

package command

import (
	"errors"
	"slices"
	"strconv"
	"strings"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

// expectedVersion returns the version given on the command line, else the one of the file.
func expectedVersion(text string, inFile uint64) (uint64, error) {
	if text == "" {
		return inFile, nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, usage("-expected is %q: a version such as 12 is accepted", text)
	}
	return version, nil
}

// withID tells how to send a change with an unknown outcome again.
func withID(err error, id string) error {
	var refusal *api.Error
	if !errors.As(err, &refusal) || refusal.Code != api.Unknown {
		return err
	}
	again := *refusal
	again.Message += "; to learn the outcome, run the command again with -id " + id
	return &again
}

// normalised returns c without its version and with the workspaces in order of name, which is the
// order in which the log returns them.
func normalised(c *configuration.Configuration) *configuration.Configuration {
	sorted := configuration.Configuration{HeadOffice: c.HeadOffice, Workspaces: slices.Clone(c.Workspaces)}
	slices.SortFunc(sorted.Workspaces, func(a, b configuration.Workspace) int { return strings.Compare(a.Name, b.Name) })
	return &sorted
}

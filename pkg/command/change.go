package command

import (
	"errors"
	"slices"
	"strconv"
	"strings"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/peer/operator/api"
)

// expectedVersion parses the -expected flag. If text is empty, it returns the version in the file.
func expectedVersion(text string, inFile uint64) (uint64, error) {
	if text == "" {
		return inFile, nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, usageErrorf("invalid -expected %q: must be a version number such as 12", text)
	}
	return version, nil
}

// withRetryHint adds the -id with which to send the change again to an error whose outcome is unknown.
func withRetryHint(err error, id string) error {
	var refusal *api.Error
	if !errors.As(err, &refusal) || refusal.Code != api.Unknown {
		return err
	}
	hinted := *refusal
	hinted.Message += "; to find out the outcome, run the command again with -id " + id
	return &hinted
}

// normalisedConfiguration returns a copy of c without the version and with the workspaces sorted by name,
// the order in which the configuration log returns them.
func normalisedConfiguration(c *configuration.Configuration) *configuration.Configuration {
	sorted := configuration.Configuration{HeadOffice: c.HeadOffice, Workspaces: slices.Clone(c.Workspaces)}
	slices.SortFunc(sorted.Workspaces, func(a, b configuration.Workspace) int { return strings.Compare(a.Name, b.Name) })
	return &sorted
}

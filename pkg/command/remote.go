package command

import (
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/cuminroute/cuminroute/pkg/peer/operator"
)

// remoteHelp is part of the help of every command that calls the operator API of an instance.
const remoteHelp = `The address and the key can also be set with the environment variables CUMINROUTE_ADDRESS and
CUMINROUTE_KEY, which keeps the key out of the process list.`

// remoteFlags holds the flags of a command that calls the operator API of an instance.
type remoteFlags struct {
	address *string
	key     *string
	format  *outputFormat
}

func newRemoteFlags(set *flag.FlagSet) *remoteFlags {
	return &remoteFlags{
		address: set.String("address", "", "operator address of an instance, such as http://127.0.0.1:8081"),
		key:     set.String("key", "", "operator key"),
		format:  newOutputFlag(set),
	}
}

func (r *remoteFlags) client() (*operator.Client, error) {
	if *r.address == "" || *r.key == "" {
		return nil, usageErrorf("-address and -key are required, or CUMINROUTE_ADDRESS and CUMINROUTE_KEY in the environment")
	}
	address := *r.address
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return operator.NewClient(address, *r.key), nil
}

// writeTable writes rows in aligned columns.
func (e *Environment) writeTable(rows [][]string) {
	w := tabwriter.NewWriter(e.Stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

func requireNoArguments(name string, args []string) error {
	if len(args) != 0 {
		return usageErrorf("%s takes no arguments", name)
	}
	return nil
}

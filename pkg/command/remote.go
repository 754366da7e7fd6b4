package command

import (
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/cuminroute/cuminroute/pkg/peer/operator"
)

// remoteHelp is part of the help of every command that talks to an instance.
const remoteHelp = `The address and the key may be given as CUMINROUTE_ADDRESS and CUMINROUTE_KEY in the environment,
which keeps the key out of the process list.`

// remote holds the flags of a command that talks to an instance.
type remote struct {
	address *string
	key     *string
	format  *outputFormat
}

func remoteFlags(set *flag.FlagSet) *remote {
	return &remote{
		address: set.String("address", "", "operator address of an instance, such as http://127.0.0.1:8081"),
		key:     set.String("key", "", "key of an operator"),
		format:  outputFlag(set),
	}
}

func (r *remote) client() (*operator.Client, error) {
	if *r.address == "" || *r.key == "" {
		return nil, usage("-address and -key are needed, or CUMINROUTE_ADDRESS and CUMINROUTE_KEY")
	}
	address := *r.address
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return operator.NewClient(address, *r.key), nil
}

// tabulate writes rows in columns. The first row is the heading.
func (e *Environment) tabulate(rows [][]string) {
	w := tabwriter.NewWriter(e.Stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

func noArguments(name string, args []string) error {
	if len(args) != 0 {
		return usage("%s takes no arguments", name)
	}
	return nil
}

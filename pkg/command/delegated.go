package command

import (
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cuminroute/cuminroute/pkg/bench"
	"github.com/cuminroute/cuminroute/pkg/demo"
	"github.com/cuminroute/cuminroute/pkg/experiment"
	"github.com/cuminroute/cuminroute/pkg/losses"
	"github.com/cuminroute/cuminroute/pkg/soak"
	"github.com/cuminroute/cuminroute/pkg/standin"
	"github.com/cuminroute/cuminroute/pkg/standin/inprocess"
)

func newDemo(e *Environment) *ffcli.Command {
	return demo.NewCommand(e.Stdout)
}

func newSoak(e *Environment) *ffcli.Command {
	return soak.NewCommand(e.Stdout, inprocess.Start)
}

func newBench(e *Environment) *ffcli.Command {
	return bench.NewCommand(e.Stdout, inprocess.Start)
}

func newStandin(e *Environment) *ffcli.Command {
	return standin.NewCommand(e.Stdout)
}

func newExperiment(e *Environment) *ffcli.Command {
	return experiment.NewCommand(e.Stdout)
}

func newLosses(e *Environment) *ffcli.Command {
	return losses.NewCommand(e.Stdin, e.Stdout)
}

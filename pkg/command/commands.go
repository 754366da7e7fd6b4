package command

import "github.com/peterbourgon/ff/v3/ffcli"

// Constructor makes one command.
type Constructor func(e *Environment) *ffcli.Command

// commands lists the commands in the order of the help text. A further command is one more line.
var commands = []Constructor{
	newQuestionnaire,
	newGenerate,
	newValidate,
	newExplain,
	newApply,
	newShow,
	newDiff,
	newHistory,
	newRollback,
	newDrain,
	stateQuery.constructor,
	statesQuery.constructor,
	instancesQuery.constructor,
	pipelinesQuery.constructor,
	planQuery.constructor,
	newDemo,
	newSoak,
	newBench,
	newExperiment,
	newLosses,
	newStandin,
}

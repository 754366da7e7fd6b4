package command

import "github.com/peterbourgon/ff/v3/ffcli"

// Constructor returns one command that uses e for input, output and time.
type Constructor func(e *Environment) *ffcli.Command

// commands lists the constructors in the order of the help text. A new command is added here.
var commands = []Constructor{
	newQuestionnaire,
	newGenerate,
	newValidate,
	newCheck,
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

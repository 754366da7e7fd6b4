package command

import (
	"context"
	"errors"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cuminroute/cuminroute/pkg/questionnaire"
)

func newQuestionnaire(e *Environment) *ffcli.Command {
	set := e.flagSet("questionnaire")
	form := set.Bool("form", false, "write the form to fill in instead of asking")
	out := set.String("out", "answers.yaml", "file to write; it must not exist")
	return &ffcli.Command{
		Name:       "questionnaire",
		ShortUsage: "cuminroute questionnaire [-form] [-out answers.yaml]",
		ShortHelp:  "ask a new team about its fleet and write the answers file",
		LongHelp: "Without -form, the questions are asked on the terminal. If the input ends early, the answers\n" +
			"given so far are written and the exit code is 1.",
		FlagSet: set,
		Options: options(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 0 {
				return usage("questionnaire takes no arguments")
			}
			if *form {
				return e.created(*out, questionnaire.Template())
			}
			return e.ask(*out)
		},
	}
}

func (e *Environment) ask(out string) error {
	if exists(out) {
		return fmt.Errorf("%s exists already and is not overwritten", out)
	}
	answers, askErr := questionnaire.Ask(e.Stdin, e.Stderr)
	content, err := questionnaire.Marshal(answers)
	if err != nil {
		return errors.Join(askErr, err)
	}
	return errors.Join(e.created(out, content), askErr)
}

func (e *Environment) created(path string, content []byte) error {
	if err := createFile(path, content, openFile); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(e.Stdout, "wrote", path)
	return nil
}

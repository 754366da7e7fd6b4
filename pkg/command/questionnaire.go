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
	form := set.Bool("form", false, "write an answers file to fill in, instead of asking questions")
	out := set.String("out", "answers.yaml", "file to write; it must not exist")
	return &ffcli.Command{
		Name:       "questionnaire",
		ShortUsage: "cuminroute questionnaire [-form] [-out answers.yaml]",
		ShortHelp:  "ask about a new fleet and write the answers file",
		LongHelp: "Without -form, asks the questions on the terminal. If the input ends early, the answers given\n" +
			"so far are written and the exit code is 1.",
		FlagSet: set,
		Options: options(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 0 {
				return usageErrorf("questionnaire takes no arguments")
			}
			if *form {
				return e.writeNewFile(*out, questionnaire.Template())
			}
			return e.runInteractive(*out)
		},
	}
}

func (e *Environment) runInteractive(out string) error {
	if fileExists(out) {
		return fmt.Errorf("%s exists already and is not overwritten", out)
	}
	answers, askErr := questionnaire.Ask(e.Stdin, e.Stderr)
	content, err := questionnaire.Marshal(answers)
	if err != nil {
		return errors.Join(askErr, err)
	}
	return errors.Join(e.writeNewFile(out, content), askErr)
}

func (e *Environment) writeNewFile(path string, content []byte) error {
	if err := createFile(path, content, publicFileMode); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(e.Stdout, "wrote", path)
	return nil
}

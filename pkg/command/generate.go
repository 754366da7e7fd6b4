package command

import (
	"context"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/questionnaire"
)

const generateHelp = `Generates a key for each key holder whose answer has no key hash. The keys are written only to the
file given with -keys, which must not exist; the configuration holds only their hashes. If the output
file exists, it must be a valid configuration, and its key hashes and version are kept.`

func newGenerate(e *Environment) *ffcli.Command {
	set := e.flagSet("generate")
	out := set.String("out", "configuration.yaml", "configuration file to write")
	answersFlag := set.String("answers", "", "answers file, in place of the argument")
	keys := set.String("keys", "", "file for the generated keys; it must not exist")
	format := newOutputFlag(set)
	return &ffcli.Command{
		Name:       "generate",
		ShortUsage: "cuminroute generate [-out configuration.yaml] [-keys keys.yaml] [-output json] <answers.yaml>",
		ShortHelp:  "generate a configuration from answers",
		LongHelp:   generateHelp,
		FlagSet:    set,
		Options:    options(),
		Exec: func(_ context.Context, args []string) error {
			if *answersFlag != "" {
				args = append(args, *answersFlag)
			}
			if len(args) != 1 {
				return usageErrorf("generate needs one answers file")
			}
			return e.reportError(e.generate(args[0], *out, *keys), format)
		},
	}
}

func (e *Environment) generate(answersPath, out, keysPath string) error {
	answers, _, err := questionnaire.Load(answersPath)
	if err != nil {
		return err
	}
	previous, err := loadPrevious(out)
	if err != nil {
		return err
	}
	generated, err := questionnaire.Generate(answers, questionnaire.WithPrevious(previous))
	if err != nil {
		return err
	}
	// Write the keys first: if only the configuration were written, it would hold the hashes of lost keys and
	// lock the key holders out.
	if err := e.writeKeys(keysPath, generated.Keys); err != nil {
		return err
	}
	if err := replaceFile(out, generated.Content); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(e.Stderr, "wrote %s: %d workspaces\n", out, len(generated.Configuration.Workspaces))
	return nil
}

// loadPrevious returns the configuration in the output file, or an empty one if the file does not exist.
func loadPrevious(out string) (*configuration.Configuration, error) {
	if !fileExists(out) {
		return &configuration.Configuration{}, nil
	}
	c, _, err := configuration.Load(out)
	if err != nil {
		return nil, fmt.Errorf("%s cannot be replaced, because its key hashes cannot be read:\n%w", out, err)
	}
	return c, nil
}

// keysFile is the content of the file that holds the generated keys.
type keysFile struct {
	Keys []questionnaire.Key `yaml:"Keys"`
}

func (e *Environment) writeKeys(path string, keys []questionnaire.Key) error {
	if len(keys) == 0 {
		return nil
	}
	if path == "" {
		return fmt.Errorf("%d keys would be generated, the first for the %s: name a file for them with -keys", len(keys), keys[0].Holder)
	}
	content, err := yaml.MarshalWithOptions(keysFile{Keys: keys}, yaml.IndentSequence(true))
	if err != nil {
		return err
	}
	if err := createFile(path, content, keyFileMode); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(e.Stderr, "wrote %s: %d keys; hand them out and delete the file\n", path, len(keys))
	return nil
}

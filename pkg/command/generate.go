package command

import (
	"context"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cuminroute/cuminroute/pkg/configuration"
	"github.com/cuminroute/cuminroute/pkg/questionnaire"
)

const generateHelp = `Keys are made for everyone whose answer holds no key hash. They are written once, to the file
given with -keys, which must not exist; the configuration holds only their hashes. If the output
file exists, it must be a valid configuration: the key hashes and the version in it are kept.`

func newGenerate(e *Environment) *ffcli.Command {
	set := e.flagSet("generate")
	out := set.String("out", "configuration.yaml", "configuration file to write")
	from := set.String("answers", "", "answers file, instead of the argument")
	keys := set.String("keys", "", "file for the keys that are made; it must not exist")
	asJSON := outputFlag(set)
	return &ffcli.Command{
		Name:       "generate",
		ShortUsage: "cuminroute generate [-out configuration.yaml] [-keys keys.yaml] [-output json] <answers.yaml>",
		ShortHelp:  "generate a configuration from answers",
		LongHelp:   generateHelp,
		FlagSet:    set,
		Options:    options(),
		Exec: func(_ context.Context, args []string) error {
			if *from != "" {
				args = append(args, *from)
			}
			if len(args) != 1 {
				return usage("generate needs one answers file")
			}
			return e.report(e.generate(args[0], *out, *keys), asJSON)
		},
	}
}

func (e *Environment) generate(answersPath, out, keysPath string) error {
	answers, _, err := questionnaire.Load(answersPath)
	if err != nil {
		return err
	}
	previous, err := previousOf(out)
	if err != nil {
		return err
	}
	generated, err := questionnaire.Generate(answers, questionnaire.WithPrevious(previous))
	if err != nil {
		return err
	}
	// The keys come first: a configuration with hashes of keys that nobody has would lock its holders out.
	if err := e.writeKeys(keysPath, generated.Keys); err != nil {
		return err
	}
	if err := replaceFile(out, generated.Content); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(e.Stderr, "wrote %s: %d workspaces\n", out, len(generated.Configuration.Workspaces))
	return nil
}

// previousOf returns the configuration that the output replaces, which is empty the first time.
func previousOf(out string) (*configuration.Configuration, error) {
	if !exists(out) {
		return &configuration.Configuration{}, nil
	}
	c, _, err := configuration.Load(out)
	if err != nil {
		return nil, fmt.Errorf("%s cannot be replaced, because the key hashes in it cannot be read:\n%w", out, err)
	}
	return c, nil
}

// keysFile is the content of the file that holds the made keys.
type keysFile struct {
	Keys []questionnaire.Key `yaml:"Keys"`
}

func (e *Environment) writeKeys(path string, keys []questionnaire.Key) error {
	if len(keys) == 0 {
		return nil
	}
	if path == "" {
		return fmt.Errorf("%d keys are to be made, starting with that of the %s: give a file for them with -keys", len(keys), keys[0].Holder)
	}
	content, err := yaml.MarshalWithOptions(keysFile{Keys: keys}, yaml.IndentSequence(true))
	if err != nil {
		return err
	}
	if err := createFile(path, content, secretFile); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(e.Stderr, "wrote %s: %d keys; hand them out and delete the file\n", path, len(keys))
	return nil
}

package questionnaire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// ErrIncomplete means that the input ended before the last question. The answers so far are returned.
var ErrIncomplete = errors.New("the input ended before the last question; the answers so far are kept")

// asker asks the questions in order until the input ends. The preset of a question is its default answer.
type asker struct {
	in      *bufio.Scanner
	out     io.Writer
	answers *Answers
	ended   bool // ended is set when the input has ended.
}

// readAnswer asks once and returns the answer, or preset for an empty answer and after the end of the input.
func (q *asker) readAnswer(question, preset string) string {
	if q.ended {
		return preset
	}
	if preset != "" {
		question += " [" + preset + "]"
	}
	_, _ = fmt.Fprint(q.out, question, ": ")
	if !q.in.Scan() {
		q.ended = true
		return preset
	}
	if answer := strings.TrimSpace(q.in.Text()); answer != "" {
		return answer
	}
	return preset
}

// ask repeats a question until set accepts the answer and Check has no finding at path.
func (q *asker) ask(path, question, preset string, set func(string) error) {
	for !q.ended {
		answer := q.readAnswer(question, preset)
		if q.ended {
			return
		}
		problem := ""
		if err := set(answer); err != nil {
			problem = err.Error()
		} else {
			problem = q.firstFinding(path)
		}
		if problem == "" {
			return
		}
		_, _ = fmt.Fprintln(q.out, "  Not accepted:", problem)
	}
}

// firstFinding returns the text of the first finding at path or below it, and "" if there is none.
func (q *asker) firstFinding(path string) string {
	for _, f := range Check(q.answers) {
		if f.Path == path || strings.HasPrefix(f.Path, path+".") || strings.HasPrefix(f.Path, path+"[") {
			return fmt.Sprintf("%s. Accepted: %s", f.Rule, f.Accepted)
		}
	}
	return ""
}

func (q *asker) text(path, question, preset string, into *string) {
	q.ask(path, question, preset, func(answer string) error {
		*into = answer
		return nil
	})
}

func (q *asker) number(path, question string, into *int) {
	q.ask(path, question, "", func(answer string) error {
		n, err := strconv.Atoi(answer)
		if err != nil {
			return errors.New("a whole number such as 1 is expected")
		}
		*into = n
		return nil
	})
}

func (q *asker) duration(path, question, preset string, into *time.Duration) {
	q.ask(path, question, preset, func(answer string) error {
		d, err := time.ParseDuration(answer)
		if err != nil {
			return errors.New("a duration such as 500ms, 30s or 2m is expected")
		}
		*into = d
		return nil
	})
}

// words asks for names that are separated by spaces or commas.
func (q *asker) words(path, question, preset string, into *[]string) {
	q.ask(path, question, preset, func(answer string) error {
		*into = strings.FieldsFunc(answer, func(r rune) bool { return r == ',' || r == ' ' })
		if *into == nil {
			*into = []string{}
		}
		return nil
	})
}

// yes repeats a yes-or-no question until the answer is valid, and reports whether it is yes. The end of the input
// counts as no.
func (q *asker) yes(question string, preset bool) bool {
	text := "n"
	if preset {
		text = "y"
	}
	for !q.ended {
		switch strings.ToLower(q.readAnswer(question+" (y/n)", text)) {
		case "y", "yes":
			return !q.ended
		case "n", "no":
			return false
		}
		_, _ = fmt.Fprintln(q.out, "  Not accepted: y or n is expected")
	}
	return false
}

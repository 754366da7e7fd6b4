package caller

import (
	"flag"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// The seed is fixed, so that a failure is the same in each run. The flag -rapid.seed overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// TestStopper guards against a stop sequence that is missed because it spans tokens, and against text
// that is lost, doubled or held back although no stop sequence can start in it.
func TestStopper(t *testing.T) {
	word := rapid.StringOfN(rapid.SampledFrom([]rune("ab")), 0, 4, -1)
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOfN(word, 0, 12).Draw(t, "pieces")
		sequences := rapid.SliceOfN(word.Filter(func(s string) bool { return s != "" }), 0, 3).Draw(t, "sequences")
		s := newStopper(sequences)
		var passed strings.Builder
		stopped := false
		for _, piece := range pieces {
			text, found := s.push(piece)
			passed.WriteString(text)
			if stopped = found; stopped {
				break
			}
		}
		if !stopped {
			passed.WriteString(s.rest())
		}
		text, ended := untilStop(pieces, sequences)
		if passed.String() != text || stopped != ended {
			t.Fatalf("got %q, %t; want %q, %t", passed.String(), stopped, text, ended)
		}
	})
}

// untilStop cuts off at the first stop sequence of the shortest text that has one.
func untilStop(pieces, sequences []string) (string, bool) {
	whole := ""
	for _, piece := range pieces {
		whole += piece
		first := len(whole) + 1
		for _, sequence := range sequences {
			if at := strings.Index(whole, sequence); at >= 0 {
				first = min(first, at)
			}
		}
		if first <= len(whole) {
			return whole[:first], true
		}
	}
	return whole, false
}

package caller

import (
	"flag"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// The seed is fixed, so that failures are reproducible. The flag -rapid.seed overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// TestStopFilter guards against a stop sequence that is missed because it spans tokens, and against text that is
// lost, duplicated or buffered although no stop sequence can start in it.
func TestStopFilter(t *testing.T) {
	word := rapid.StringOfN(rapid.SampledFrom([]rune("ab")), 0, 4, -1)
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOfN(word, 0, 12).Draw(t, "pieces")
		sequences := rapid.SliceOfN(word.Filter(func(s string) bool { return s != "" }), 0, 3).Draw(t, "sequences")
		s := newStopFilter(sequences)
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
			passed.WriteString(s.flush())
		}
		text, ended := untilStop(pieces, sequences)
		if passed.String() != text || stopped != ended {
			t.Fatalf("got %q, %t; want %q, %t", passed.String(), stopped, text, ended)
		}
	})
}

// untilStop returns the text before the first stop sequence in the shortest concatenation that contains one.
func untilStop(pieces, sequences []string) (string, bool) {
	joined := ""
	for _, piece := range pieces {
		joined += piece
		first := len(joined) + 1
		for _, sequence := range sequences {
			if at := strings.Index(joined, sequence); at >= 0 {
				first = min(first, at)
			}
		}
		if first <= len(joined) {
			return joined[:first], true
		}
	}
	return joined, false
}

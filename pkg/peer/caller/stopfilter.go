package caller

import "strings"

// stopFilter passes text through up to the first stop sequence. It buffers text that may be the
// start of a stop sequence.
type stopFilter struct {
	sequences []string
	buffered  string
}

func newStopFilter(sequences []string) *stopFilter {
	return &stopFilter{sequences: sequences}
}

// push adds text. It returns the text that may be sent, and whether a stop sequence follows it.
func (s *stopFilter) push(text string) (pass string, stopped bool) {
	if len(s.sequences) == 0 {
		return text, false
	}
	s.buffered += text
	if at := s.stopIndex(); at >= 0 {
		pass, s.buffered = s.buffered[:at], ""
		return pass, true
	}
	keep := s.partialMatchLen()
	pass, s.buffered = s.buffered[:len(s.buffered)-keep], s.buffered[len(s.buffered)-keep:]
	return pass, false
}

// stopIndex returns the index of the earliest stop sequence, or -1.
func (s *stopFilter) stopIndex() int {
	first := -1
	for _, sequence := range s.sequences {
		if at := strings.Index(s.buffered, sequence); at >= 0 && (first < 0 || at < first) {
			first = at
		}
	}
	return first
}

// partialMatchLen returns the length of the longest suffix of the buffered text that is a prefix of a stop sequence.
func (s *stopFilter) partialMatchLen() int {
	longest := 0
	for _, sequence := range s.sequences {
		for n := min(len(sequence)-1, len(s.buffered)); n > longest; n-- {
			if strings.HasSuffix(s.buffered, sequence[:n]) {
				longest = n
			}
		}
	}
	return longest
}

// flush removes and returns the text that is still buffered at the end of the output.
func (s *stopFilter) flush() string {
	rest := s.buffered
	s.buffered = ""
	return rest
}

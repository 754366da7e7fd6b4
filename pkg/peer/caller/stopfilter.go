package caller

import "strings"

// stopper passes text on up to the first stop sequence. It holds back text that may be the start of one.
type stopper struct {
	sequences []string
	held      string
}

func newStopper(sequences []string) *stopper {
	return &stopper{sequences: sequences}
}

// push adds text and returns what may be passed on, and whether a stop sequence was found after it.
func (s *stopper) push(text string) (pass string, stopped bool) {
	if len(s.sequences) == 0 {
		return text, false
	}
	s.held += text
	if at := s.firstStop(); at >= 0 {
		pass, s.held = s.held[:at], ""
		return pass, true
	}
	keep := s.possibleStart()
	pass, s.held = s.held[:len(s.held)-keep], s.held[len(s.held)-keep:]
	return pass, false
}

// firstStop returns where the earliest stop sequence starts, -1 where there is none.
func (s *stopper) firstStop() int {
	first := -1
	for _, sequence := range s.sequences {
		if at := strings.Index(s.held, sequence); at >= 0 && (first < 0 || at < first) {
			first = at
		}
	}
	return first
}

// possibleStart returns the length of the longest end of the held text that starts a stop sequence.
func (s *stopper) possibleStart() int {
	longest := 0
	for _, sequence := range s.sequences {
		for n := min(len(sequence)-1, len(s.held)); n > longest; n-- {
			if strings.HasSuffix(s.held, sequence[:n]) {
				longest = n
			}
		}
	}
	return longest
}

// rest returns what was held back until the answer's end.
func (s *stopper) rest() string {
	rest := s.held
	s.held = ""
	return rest
}

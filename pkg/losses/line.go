package losses

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

// ended is the message of the line that each request leaves.
const ended = "request ended"

// line is what is read of a request's line. Durations are in milliseconds.
type line struct {
	Time         time.Time `json:"Time"`
	Message      string    `json:"message"`
	Request      string    `json:"Request"`
	Took         float64   `json:"Took"`
	Goal         float64   `json:"Goal"`
	PauseGoal    float64   `json:"PauseGoal"`
	First        float64   `json:"First"`
	Events       int       `json:"Events"`
	LongestPause float64   `json:"LongestPause"`
	Resumes      int       `json:"Resumes"`
	Repaths      int       `json:"Repaths"`
	Outcome      string    `json:"Outcome"`
	Reason       string    `json:"Reason"`
	Status       int       `json:"Status"`
}

// parse decodes a line. Text before the first brace is ignored: collectors put a time or a name there. It reports
// whether the line is that of a request that has ended.
func parse(text []byte) (l line, ok bool, err error) {
	i := bytes.IndexByte(text, '{')
	if i < 0 || !bytes.Contains(text, []byte(ended)) {
		return line{}, false, nil
	}
	if err := json.Unmarshal(text[i:], &l); err != nil {
		return line{}, false, err
	}
	return l, l.Message == ended, nil
}

// cause returns why a request earned less than its credit, and how much it lost; an empty cause if nothing. Denied
// requests lose nothing: the configuration does not allow them.
func (l line) cause() (cause string, lost float64) {
	switch l.Outcome {
	case "Served":
		return l.lateness()
	case "NotRun":
		if l.Status >= http.StatusBadRequest && l.Status < http.StatusInternalServerError && l.Status != http.StatusTooManyRequests {
			return "denied: " + l.Reason, 0
		}
		return "refused: " + l.Reason, whole
	case "CallerLeft":
		if l.Events > 0 {
			return "caller left midway", whole
		}
		return "caller left before the first event", whole
	case "BrokenOff":
		return "stream broken off", whole
	default:
		return "failed: " + l.Reason, whole
	}
}

func (l line) lateness() (cause string, lost float64) {
	switch {
	case l.Events == 0 && l.Goal > 0 && l.Took > l.Goal:
		return "late answer", half
	case l.Events > 0 && l.Goal > 0 && l.First > l.Goal:
		return "late first event", half
	case l.PauseGoal <= 0 || l.LongestPause <= l.PauseGoal:
		return "", 0
	case l.Resumes > 0:
		return "pause, resumed elsewhere", half
	case l.Repaths > 0:
		return "pause, path changed", half
	default:
		return "pause, on its path", half
	}
}

const (
	whole = 1.0
	half  = 0.5
)

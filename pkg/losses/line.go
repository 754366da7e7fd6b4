package losses

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

// endedMessage is the message of the log line that is written when a request ends.
const endedMessage = "request ended"

// requestEntry holds the fields of an endedMessage log line that the report uses. Durations are in milliseconds.
type requestEntry struct {
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

// parse decodes a log line and reports whether the line is an endedMessage line. Text before the first brace is
// ignored: log collectors prepend a time or a name.
func parse(text []byte) (entry requestEntry, ok bool, err error) {
	i := bytes.IndexByte(text, '{')
	if i < 0 || !bytes.Contains(text, []byte(endedMessage)) {
		return requestEntry{}, false, nil
	}
	if err := json.Unmarshal(text[i:], &entry); err != nil {
		return requestEntry{}, false, err
	}
	return entry, entry.Message == endedMessage, nil
}

// cause returns why a request lost credit and how much. The cause is empty for a request that was served in time.
// Denied requests have a cause but lose no credit: the configuration does not allow them.
func (e requestEntry) cause() (cause string, lost float64) {
	switch e.Outcome {
	case "Served":
		return e.lateness()
	case "NotRun":
		if e.Status >= http.StatusBadRequest && e.Status < http.StatusInternalServerError && e.Status != http.StatusTooManyRequests {
			return "denied: " + e.Reason, 0
		}
		return "refused: " + e.Reason, fullCredit
	case "CallerLeft":
		if e.Events > 0 {
			return "caller left midway", fullCredit
		}
		return "caller left before the first event", fullCredit
	case "BrokenOff":
		return "stream broken off", fullCredit
	default:
		return "failed: " + e.Reason, fullCredit
	}
}

// lateness returns the cause and the lost credit of a request that was served.
func (e requestEntry) lateness() (cause string, lost float64) {
	switch {
	case e.Events == 0 && e.Goal > 0 && e.Took > e.Goal:
		return "late answer", halfCredit
	case e.Events > 0 && e.Goal > 0 && e.First > e.Goal:
		return "late first event", halfCredit
	case e.PauseGoal <= 0 || e.LongestPause <= e.PauseGoal:
		return "", 0
	case e.Resumes > 0:
		return "pause, resumed elsewhere", halfCredit
	case e.Repaths > 0:
		return "pause, path changed", halfCredit
	default:
		return "pause, on its path", halfCredit
	}
}

const (
	fullCredit = 1.0
	halfCredit = 0.5
)

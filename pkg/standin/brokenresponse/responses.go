package brokenresponse

import "fmt"

// Response is a response that is no valid message.
type Response struct {
	Name  string
	Bytes string
}

// InvalidStatuses returns responses whose status no response to an ordinary request can have, with the given fields, each of which ends
// with a line end, and the given body.
func InvalidStatuses(fields, body string) []Response {
	var responses []Response
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "+20", "-00", "2x0"} {
		responses = append(responses,
			Response{"status " + status, "HTTP/1.1 " + status + " Trouble\r\n" + fields + length(body) + "\r\n" + body},
			Response{"status " + status + " without a length", "HTTP/1.1 " + status + " Trouble\r\n" + fields + "\r\n" + body},
		)
	}
	whole := "HTTP/1.1 200 OK\r\n" + fields + length(body) + "\r\n" + body
	return append(responses,
		Response{"status 000 before a response", "HTTP/1.1 000 Trouble\r\n" + length(whole) + "\r\n" + whole},
		Response{"status 101 before a response", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + whole},
		Response{"status 2000", "HTTP/1.1 2000 OK\r\n" + fields + length(body) + "\r\n" + body},
		Response{"no status", "HTTP/1.1 \r\n" + fields + length(body) + "\r\n" + body},
	)
}

// length returns the field with the length of a body.
func length(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }

package brokenresponse

import "fmt"

// InvalidFields returns responses of status 200 in whose head a field is not valid, with the given fields and body.
func InvalidFields(fields, body string) []Response {
	var responses []Response
	for _, f := range []struct{ name, line string }{
		{"blank before the colon", "X-Own : a"},
		{"tab before the colon", "X-Own\t: a"},
		{"blank in a name", "X Own: a"},
		{"blank before a name", " X-Own: a"},
		{"tab before a name", "\tX-Own: a"},
		{"control character in a name", "X-\x01Own: a"},
		{"null in a name", "X-Own\x00: a"},
		{"delete character in a name", "X-Own\x7f: a"},
		{"byte outside ASCII in a name", "X-\xc3\xb6: a"},
		{"no name", ": a"},
		{"no colon", "X-Own"},
		{"null in a value", "X-Own: a\x00b"},
		{"control character in a value", "X-Own: a\x01b"},
		{"carriage return in a value", "X-Own: a\rX-Other: b"},
	} {
		responses = append(responses,
			Response{f.name, "HTTP/1.1 200 OK\r\n" + fields + f.line + "\r\n" + length(body) + "\r\n" + body},
			Response{f.name + " of an interim response", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n" + f.line + "\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + length(body) + "\r\n" + body},
		)
	}
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	return append(responses,
		Response{"blank in Content-Length", "HTTP/1.1 200 OK\r\n" + fields + fmt.Sprintf("Content-Length : %d\r\n\r\n", len(body)) + body + body},
		Response{"blank before Content-Length", "HTTP/1.1 200 OK\r\n" + fields + fmt.Sprintf("X-Own: a\r\n Content-Length: %d\r\n\r\n", len(body)) + body + body},
		Response{"blank in Transfer-Encoding", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding : chunked\r\n\r\n" + chunked},
		Response{"blank before Transfer-Encoding", "HTTP/1.1 200 OK\r\n" + fields + "X-Own: a\r\n\tTransfer-Encoding: chunked\r\n\r\n" + chunked},
		Response{"Transfer-Encoding in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunked},
		Response{"another protocol", "HTTP/3.7 200 OK\r\n" + fields + length(body) + "\r\n" + body},
	)
}

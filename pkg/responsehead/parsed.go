package responsehead

import "net/http"

// CheckParsed checks the status and the field names of a final response that was parsed without a Checker. What the parser has changed,
// such as lines that it joined, is not found.
func CheckParsed(status int, header http.Header) error {
	if status < minFinal {
		return Invalid.New("the status code %03d is not that of a final response", status)
	}
	if err := checkStatus(status); err != nil {
		return err
	}
	for name := range header {
		for i := range len(name) {
			if !isToken(name[i]) {
				return Invalid.New("a field name has %s", describe(name[i]))
			}
		}
	}
	return nil
}

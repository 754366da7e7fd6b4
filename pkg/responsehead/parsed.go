package responsehead

// CheckStatus checks the status of a final response that was parsed without a Checker.
func CheckStatus(status int) error {
	if status < minFinal {
		return Invalid.New("the status code %03d is not that of a final response", status)
	}
	return checkStatus(status)
}

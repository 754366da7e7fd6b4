package quarantine

import "github.com/cespare/xxhash/v2"

// Fingerprint identifies the content of a request of a workspace, so that a resend under another
// ID or to another instance is recognised.
func Fingerprint(workspace string, content []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(workspace)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(content)
	return d.Sum64()
}

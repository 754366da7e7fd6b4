package quarantine

import "github.com/cespare/xxhash/v2"

// Fingerprint returns a hash of a workspace and the content of one of its requests. It is the same
// for a resend under another ID or to another instance.
func Fingerprint(workspace string, content []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(workspace)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(content)
	return d.Sum64()
}

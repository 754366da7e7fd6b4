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

// Part returns a fingerprint of a part of the content of requests, such as a document in their prompts. It differs from the
// fingerprint of any whole content, and is the same for all workspaces: a part that crashes targets does so for all.
func Part(id string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString("\x00part\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}

package questionnaire

import "github.com/cuminroute/cuminroute/pkg/configuration"

// operatorHolder returns the description of an operator as a holder, under which its key is reported.
func operatorHolder(name string) string {
	return "operator " + name
}

func workspaceHolder(name string) string {
	return "workspace " + name
}

func branchHolder(workspace, branch string) string {
	return workspaceHolder(workspace) + ", branch " + branch
}

// hashesOf returns the key hash of each holder of a generated key. A generated key has the name of its
// holder; any other key was added by hand.
func hashesOf(c *configuration.Configuration) map[string]string {
	hashes := map[string]string{}
	for _, o := range c.HeadOffice.Operators {
		hashes[operatorHolder(o.Name)] = o.Hash
	}
	for _, w := range c.Workspaces {
		recordHash(hashes, workspaceHolder(w.Name), w.Name, w.Keys)
		for _, b := range w.Branches {
			recordHash(hashes, branchHolder(w.Name, b.Name), b.Name, b.Keys)
		}
	}
	return hashes
}

func recordHash(hashes map[string]string, holder, name string, keys []configuration.Key) {
	for _, k := range keys {
		if k.Name == name {
			hashes[holder] = k.Hash
		}
	}
}

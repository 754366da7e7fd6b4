// Package examples holds the answers of two fleets, for the demo.
//
// Usage:
//
//	answers, err := examples.Answers.ReadFile("krpanka/answers.yaml")
package examples

import "embed"

// Answers holds the answers.yaml of each fleet.
//
//go:embed krpanka/answers.yaml braci-etnee/answers.yaml
var Answers embed.FS

// Package examples embeds the questionnaire answers of two example fleets, which the demo uses.
//
// Usage:
//
//	answers, err := examples.Answers.ReadFile("krpanka/answers.yaml")
package examples

import "embed"

// Answers holds the answers.yaml file of each fleet, under the fleet's directory.
//
//go:embed krpanka/answers.yaml braci-etnee/answers.yaml
var Answers embed.FS

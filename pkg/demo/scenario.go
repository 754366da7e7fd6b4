package demo

import "github.com/cuminroute/cuminroute/pkg/layer"

// scenario describes an example fleet and the requests that its clients send.
type scenario struct {
	answers   string // answers is the path of the fleet's answers file in examples.Answers.
	keyPrefix string // keyPrefix is the prefix of the fleet's example keys.
	workspace string
	branch    string
	pipelines []string
	questions []string
	orderPath string // orderPath is the path of an order, which is not idempotent.
	stockPath string
	stages    []layer.Range
}

// scenarios holds one scenario for each of the two example fleets.
var scenarios = []scenario{
	{
		answers: "krpanka/answers.yaml", keyPrefix: "example-krpanka-", workspace: "maribor", branch: "tabor",
		pipelines: []string{"stitch-guide", "care-questions"},
		questions: []string{"how do I darn a torn heel", "may this wool be washed at 30 degrees", "which needle for a thin sock"},
		orderPath: "orders/reorders", stockPath: "stock/items/wool-blue",
		stages: []layer.Range{{First: 0, End: 8}, {First: 8, End: 20}, {First: 20, End: 32}},
	},
	{
		answers: "braci-etnee/answers.yaml", keyPrefix: "example-etnee-", workspace: "bronte-kilns", branch: "first-crew",
		pipelines: []string{"burn-schedule", "vendor-chat"},
		questions: []string{"a schedule for 800 kg of damp chestnut", "is grade B dry enough for a brazier", "when to close the vents"},
		orderPath: "orders/deliveries", stockPath: "stock/items/coal-b",
		stages: []layer.Range{{First: 0, End: 10}, {First: 10, End: 24}},
	},
}

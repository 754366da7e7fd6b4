package layer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/layer"
)

// TestIsPartition guards against accepting ranges that skip a layer or contain one twice.
func TestIsPartition(t *testing.T) {
	tests := []struct {
		name   string
		ranges []layer.Range
		layers int
		want   bool
	}{
		{"one range", []layer.Range{{First: 0, End: 32}}, 32, true},
		{"two ranges", []layer.Range{{First: 0, End: 16}, {First: 16, End: 32}}, 32, true},
		{"none", nil, 32, false},
		{"gap", []layer.Range{{First: 0, End: 15}, {First: 16, End: 32}}, 32, false},
		{"overlap", []layer.Range{{First: 0, End: 17}, {First: 16, End: 32}}, 32, false},
		{"last layers missing", []layer.Range{{First: 0, End: 16}}, 32, false},
		{"beyond the last layer", []layer.Range{{First: 0, End: 33}}, 32, false},
		{"empty range", []layer.Range{{First: 0, End: 0}, {First: 0, End: 32}}, 32, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, layer.IsPartition(test.ranges, test.layers), qt.Equals, test.want)
		})
	}
}

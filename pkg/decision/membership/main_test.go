package membership

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, unless the flag -rapid.seed sets one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}

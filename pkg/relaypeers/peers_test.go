package relaypeers_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cuminroute/cuminroute/pkg/decision/membership"
	"github.com/cuminroute/cuminroute/pkg/relay"
	"github.com/cuminroute/cuminroute/pkg/relaypeers"
)

var to = netip.MustParseAddrPort("10.1.64.9:8080")

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7340)
}

// TestDial guards against a connection that is not relayed, or late, while most instances have lost their links too, and against
// asking these again.
func TestDial(t *testing.T) {
	for _, test := range []struct {
		name   string
		others int
		hang   bool // hang means that instances without links do not answer; otherwise they say so.
		within time.Duration
	}{
		{"instances without links hang", 8, true, 40 * time.Millisecond},
		{"instances without links say so", 8, false, 10 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var members []membership.Member
				for i := range test.others {
					members = append(members, membership.Member{Address: address(i), DataCentre: []string{"here", "there"}[i%2]})
				}
				var mu sync.Mutex
				asked := make(map[netip.AddrPort]int)
				peers := relaypeers.New("here", func() []membership.Member { return members }, func(ctx context.Context, via, _ netip.AddrPort) (net.Conn, error) {
					mu.Lock()
					asked[via]++
					mu.Unlock()
					if via == address(1) {
						c, other := net.Pipe()
						_ = other.Close()
						return c, nil
					}
					if test.hang {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					return nil, errors.New("no link")
				})
				began := time.Now()
				c, err := peers.Dial(context.Background(), to)
				qt.Assert(t, err, qt.IsNil)
				_ = c.Close()
				qt.Assert(t, time.Since(began) <= test.within, qt.IsTrue, qt.Commentf("connected after %v", time.Since(began)))
				for range 20 {
					c, err := peers.Dial(context.Background(), to)
					qt.Assert(t, err, qt.IsNil)
					_ = c.Close()
				}
				qt.Assert(t, asked[address(1)], qt.Equals, 21)
				time.Sleep(time.Second)
			})
		})
	}
}

// TestNoPeer guards against taking a target that refuses connections for one that is only out of reach, if nobody else can tell.
func TestNoPeer(t *testing.T) {
	peers := relaypeers.New("here", func() []membership.Member { return nil }, nil)
	_, err := peers.Dial(context.Background(), to)
	qt.Assert(t, err, qt.ErrorIs, relay.ErrNoPeer)
}

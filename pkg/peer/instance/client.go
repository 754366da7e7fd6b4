package instance

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
)

const (
	// callTimeout bounds a call whose context has no earlier deadline.
	callTimeout = 10 * time.Second
	// dialTimeout bounds the opening of a connection, so that a peer that is gone does not use up the time
	// for a snapshot.
	dialTimeout = time.Second
	// maxAnswerBytes bounds one message of an answer: a single change may exceed answerBytes.
	maxAnswerBytes = 16 << 20
	// maxSnapshotBytes bounds a snapshot. The target of two years is 7.6 MB.
	maxSnapshotBytes = 64 << 20
)

// call opens a connection, runs f and closes the connection. One connection per call suffices: an
// instance makes one each 5 s at the target's rate of changes.
func (n *Node) call(ctx context.Context, peer netip.AddrPort, f func(context.Context, instancepb.DRPCInstancesClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	dialer := net.Dialer{Timeout: dialTimeout}
	tcp, err := dialer.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return Unavailable.Wrap(err, "instance %s cannot be reached", peer)
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = tcp.SetDeadline(deadline)
	}
	conn := drpcconn.NewWithOptions(tcp, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxAnswerBytes},
	}})
	defer func() { _ = conn.Close() }()
	if err := f(ctx, instancepb.NewDRPCInstancesClient(conn)); err != nil {
		return Unavailable.Wrap(err, "call to instance %s failed", peer)
	}
	return nil
}

// FetchChanges returns the changes after a version that a peer has applied, as many as fit one
// answer, or ErrTrimmed if the peer does not keep the next one.
func (n *Node) FetchChanges(ctx context.Context, peer netip.AddrPort, after uint64) ([]ConfigChange, error) {
	var answer *instancepb.FetchChangesResponse
	err := n.call(ctx, peer, func(ctx context.Context, c instancepb.DRPCInstancesClient) (err error) {
		answer, err = c.FetchChanges(ctx, &instancepb.FetchChangesRequest{Fleet: n.fleet, After: after})
		return err
	})
	if err != nil {
		return nil, err
	}
	if answer.GetTrimmed() {
		return nil, ErrTrimmed
	}
	var changes []ConfigChange
	for _, c := range answer.GetChanges() {
		changes = append(changes, ConfigChange{Version: c.GetVersion(), Content: c.GetContent()})
	}
	return changes, nil
}

// FetchSnapshot returns the whole configuration in force at a peer.
func (n *Node) FetchSnapshot(ctx context.Context, peer netip.AddrPort) (ConfigSnapshot, error) {
	var whole ConfigSnapshot
	err := n.call(ctx, peer, func(ctx context.Context, c instancepb.DRPCInstancesClient) error {
		stream, err := c.FetchSnapshot(ctx, &instancepb.FetchSnapshotRequest{Fleet: n.fleet})
		if err != nil {
			return err
		}
		return readParts(stream, &whole)
	})
	return whole, err
}

// readParts joins the parts of a snapshot. Parts of different versions, or an end before the last
// part, are errors.
func readParts(stream instancepb.DRPCInstances_FetchSnapshotClient, whole *ConfigSnapshot) error {
	for {
		part, err := stream.Recv()
		if err != nil {
			return err
		}
		if len(whole.Content) > 0 && part.GetVersion() != whole.Version {
			return Malformed.New("snapshot has parts of the versions %d and %d", whole.Version, part.GetVersion())
		}
		whole.Version = part.GetVersion()
		whole.Content = append(whole.Content, part.GetContent()...)
		if len(whole.Content) > maxSnapshotBytes {
			return Malformed.New("snapshot exceeds %d bytes", maxSnapshotBytes)
		}
		if part.GetLast() {
			return nil
		}
	}
}

// FetchState returns the state dump of a peer, as JSON.
func (n *Node) FetchState(ctx context.Context, peer netip.AddrPort) ([]byte, error) {
	var answer *instancepb.StateResponse
	err := n.call(ctx, peer, func(ctx context.Context, c instancepb.DRPCInstancesClient) (err error) {
		answer, err = c.State(ctx, &instancepb.StateRequest{Fleet: n.fleet})
		return err
	})
	return answer.GetContent(), err
}

// dump returns the state dump of this node.
func (n *Node) dump(ctx context.Context) ([]byte, error) {
	if n.state != nil {
		return n.state(ctx)
	}
	return json.Marshal(n.View())
}

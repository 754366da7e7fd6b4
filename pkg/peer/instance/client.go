package instance

import (
	"context"
	"encoding/json"
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
	// dialTimeout bounds the opening of a connection, so that a dead peer does not use up the timeout
	// of a snapshot.
	dialTimeout = time.Second
	// targetsDialTimeout is the shorter bound of FetchTargets, whose callers have just started and cannot serve without the list.
	targetsDialTimeout = 400 * time.Millisecond
	// maxMessageBytes bounds one message of a response: a single change may exceed maxChangesBytes.
	maxMessageBytes = 16 << 20
	// maxSnapshotBytes bounds a snapshot. The size planned for the next two years is 7.6 MB.
	maxSnapshotBytes = 64 << 20
)

// call opens a connection, runs f with a client on the connection, and closes the connection. One connection per call
// suffices: an instance makes one call every 5 s at the planned rate of changes.
func (n *Node) call(ctx context.Context, peer netip.AddrPort, f func(context.Context, instancepb.DRPCInstancesClient) error) error {
	return n.callWithin(ctx, dialTimeout, peer, f)
}

// callWithin is call with another bound on the opening of the connection.
func (n *Node) callWithin(ctx context.Context, dial time.Duration, peer netip.AddrPort, f func(context.Context, instancepb.DRPCInstancesClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	dialing, stopDialing := context.WithTimeout(ctx, dial)
	tcp, err := n.network.Dial(dialing, peer)
	stopDialing()
	if err != nil {
		return Unreachable.Wrap(err, "instance %s cannot be reached", peer)
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = tcp.SetDeadline(deadline)
	}
	conn := drpcconn.NewWithOptions(tcp, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
	}})
	defer func() { _ = conn.Close() }()
	if err := f(ctx, instancepb.NewDRPCInstancesClient(conn)); err != nil {
		return Unavailable.Wrap(err, "call to instance %s failed", peer)
	}
	return nil
}

// FetchChanges returns the changes after a version that a peer has applied, as many as fit one
// response, or ErrTrimmed if the peer no longer keeps the first of them.
func (n *Node) FetchChanges(ctx context.Context, peer netip.AddrPort, after uint64) ([]ConfigChange, error) {
	var response *instancepb.FetchChangesResponse
	err := n.call(ctx, peer, func(ctx context.Context, c instancepb.DRPCInstancesClient) (err error) {
		response, err = c.FetchChanges(ctx, &instancepb.FetchChangesRequest{Fleet: n.fleet, After: after})
		return err
	})
	if err != nil {
		return nil, err
	}
	if response.GetTrimmed() {
		return nil, ErrTrimmed
	}
	var changes []ConfigChange
	for _, c := range response.GetChanges() {
		changes = append(changes, ConfigChange{Version: c.GetVersion(), Content: c.GetContent()})
	}
	return changes, nil
}

// FetchSnapshot returns a peer's whole active configuration.
func (n *Node) FetchSnapshot(ctx context.Context, peer netip.AddrPort) (ConfigSnapshot, error) {
	var snapshot ConfigSnapshot
	err := n.call(ctx, peer, func(ctx context.Context, c instancepb.DRPCInstancesClient) error {
		stream, err := c.FetchSnapshot(ctx, &instancepb.FetchSnapshotRequest{Fleet: n.fleet})
		if err != nil {
			return err
		}
		return receiveSnapshot(stream, &snapshot)
	})
	return snapshot, err
}

// FetchTargets returns a peer's list of targets, as far as it differs from the list with the digests. It fails with Unreachable if
// the peer accepts no connection.
func (n *Node) FetchTargets(ctx context.Context, peer netip.AddrPort, digests []uint64) (ConfigSnapshot, error) {
	var list ConfigSnapshot
	err := n.callWithin(ctx, targetsDialTimeout, peer, func(ctx context.Context, c instancepb.DRPCInstancesClient) error {
		stream, err := c.FetchTargets(ctx, &instancepb.FetchTargetsRequest{Fleet: n.fleet, Digests: digests})
		if err != nil {
			return err
		}
		return receiveSnapshot(stream, &list)
	})
	return list, err
}

// receiveSnapshot joins the parts of a snapshot. Parts of different versions, and an end of the stream before
// the last part, are errors.
func receiveSnapshot(stream interface {
	Recv() (*instancepb.SnapshotPart, error)
}, snapshot *ConfigSnapshot,
) error {
	for {
		part, err := stream.Recv()
		if err != nil {
			return err
		}
		if len(snapshot.Content) > 0 && (part.GetVersion() != snapshot.Version || part.GetEra() != snapshot.Era) {
			return Malformed.New("snapshot has parts of the versions %d and %d", snapshot.Version, part.GetVersion())
		}
		snapshot.Version, snapshot.Era = part.GetVersion(), part.GetEra()
		snapshot.Content = append(snapshot.Content, part.GetContent()...)
		if len(snapshot.Content) > maxSnapshotBytes {
			return Malformed.New("snapshot exceeds %d bytes", maxSnapshotBytes)
		}
		if part.GetLast() {
			return nil
		}
	}
}

// FetchState returns the state dump of a peer, as JSON.
func (n *Node) FetchState(ctx context.Context, peer netip.AddrPort) ([]byte, error) {
	var response *instancepb.StateResponse
	err := n.call(ctx, peer, func(ctx context.Context, c instancepb.DRPCInstancesClient) (err error) {
		response, err = c.State(ctx, &instancepb.StateRequest{Fleet: n.fleet})
		return err
	})
	return response.GetContent(), err
}

// dumpState returns the state dump of this node.
func (n *Node) dumpState(ctx context.Context) ([]byte, error) {
	if n.stateDump != nil {
		return n.stateDump(ctx)
	}
	return json.Marshal(n.View())
}

package instance

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
)

const (
	// serveTimeout bounds the lifetime of a connection. Peers open one connection for each call.
	serveTimeout = 15 * time.Second
	// maxConnections bounds the connections, and thereby the calls, served at the same time. Further connections are
	// closed, and their peers call another instance.
	maxConnections = 64
	// maxSnapshots bounds the snapshots served at the same time: each holds the whole configuration in
	// memory, and an instance has 128 MB for the whole control plane.
	maxSnapshots = 2
	// maxTargetLists bounds the lists of targets sent at the same time, so that each reaches its receiver soon. Up to maxTargetWaiters
	// further callers wait for at most targetListWait: to refuse them would make them come back, which costs more. The others ask another
	// instance.
	maxTargetLists   = 4
	maxTargetWaiters = 32
	targetListWait   = time.Second
	// snapshotPartBytes is the size of one part of a snapshot, below the 4 MiB that drpc accepts.
	snapshotPartBytes = 256 << 10
)

// service implements the RPCs that other instances call.
type service struct {
	node          *Node
	snapshotSlots chan struct{} // snapshotSlots has one element for each snapshot that is being served
	targetSlots   chan struct{} // targetSlots has one element for each list of targets that is being served
	targetWaiters chan struct{} // targetWaiters has one element for each caller that waits for one of targetSlots
}

func newService(n *Node) *service {
	return &service{node: n, snapshotSlots: make(chan struct{}, maxSnapshots), targetSlots: make(chan struct{}, maxTargetLists), targetWaiters: make(chan struct{}, maxTargetWaiters)}
}

// serve accepts connections until the listener is closed.
func (n *Node) serve() {
	mux := drpcmux.New()
	if err := instancepb.DRPCRegisterInstances(mux, newService(n)); err != nil {
		n.logger.Error().Err(err).Msg("calls of other instances cannot be served")
		return
	}
	server := drpcserver.New(mux)
	slots := make(chan struct{}, maxConnections)
	for n.ctx.Err() == nil {
		conn, err := n.tcp.Accept()
		if err != nil {
			n.sleep(retryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
			n.start(func() {
				relayed := n.serveConnection(server, conn)
				<-slots
				if relayed {
					n.serveRelay(conn)
				}
			})
		default:
			_ = conn.Close()
		}
	}
}

// serveConnection serves the calls on one connection and closes it, unless the connection is to be relayed to a target.
func (n *Node) serveConnection(server *drpcserver.Server, conn net.Conn) (relayed bool) {
	ctx, cancel := context.WithTimeout(n.ctx, serveTimeout)
	defer cancel()
	_ = conn.SetDeadline(time.Now().Add(serveTimeout))
	prefix := make([]byte, len(relayPrefix))
	if _, err := io.ReadFull(conn, prefix); err != nil {
		_ = conn.Close()
		return false
	}
	if string(prefix) == relayPrefix {
		return true
	}
	n.counters.calls.Inc(1)
	if err := server.ServeOne(ctx, &prefixedConn{Conn: conn, prefix: prefix}); err != nil {
		n.logger.Debug().Err(err).Msg("connection from another instance ended with an error")
	}
	return false
}

// prefixedConn is a connection whose first bytes have been read.
type prefixedConn struct {
	net.Conn
	prefix []byte // prefix holds the bytes that have been read and not been returned by Read.
}

// Read implements io.Reader.
func (c *prefixedConn) Read(b []byte) (int, error) {
	if len(c.prefix) == 0 {
		return c.Conn.Read(b)
	}
	n := copy(b, c.prefix)
	c.prefix = c.prefix[n:]
	return n, nil
}

// checkFleet returns an error if a call was made by an instance of another fleet.
func (s *service) checkFleet(fleet string) error {
	if fleet != s.node.fleet {
		return Malformed.New("call of fleet %q, this is %q", fleet, s.node.fleet)
	}
	return nil
}

// FetchChanges implements instancepb.DRPCInstancesServer.
func (s *service) FetchChanges(_ context.Context, r *instancepb.FetchChangesRequest) (*instancepb.FetchChangesResponse, error) {
	if err := s.checkFleet(r.GetFleet()); err != nil {
		return nil, err
	}
	changes, err := s.node.changeLog.after(r.GetAfter(), s.node.View().Version)
	if errors.Is(err, ErrTrimmed) {
		return &instancepb.FetchChangesResponse{Trimmed: true}, nil
	}
	response := &instancepb.FetchChangesResponse{}
	for _, c := range changes {
		response.Changes = append(response.Changes, &instancepb.Change{Version: c.Version, Content: c.Content})
	}
	return response, err
}

// activeSnapshotProvider returns the provider of the active configuration, or nil if there is none.
func (n *Node) activeSnapshotProvider() func(context.Context) (ConfigSnapshot, error) {
	switch {
	case n.snapshotProvider != nil:
		return n.snapshotProvider
	case n.applier != nil && n.View().Ready():
		return n.applier.Snapshot
	default:
		return nil
	}
}

// FetchSnapshot implements instancepb.DRPCInstancesServer.
func (s *service) FetchSnapshot(r *instancepb.FetchSnapshotRequest, stream instancepb.DRPCInstances_FetchSnapshotStream) error {
	if err := s.checkFleet(r.GetFleet()); err != nil {
		return err
	}
	provider := s.node.activeSnapshotProvider()
	if provider == nil {
		return Unavailable.New("no configuration is in force here")
	}
	select {
	case s.snapshotSlots <- struct{}{}:
		defer func() { <-s.snapshotSlots }()
	default:
		return Unavailable.New("%d snapshots are handed out already", maxSnapshots)
	}
	snapshot, err := provider(stream.Context())
	if err != nil {
		return err
	}
	return sendSnapshot(stream, snapshot)
}

// FetchTargets implements instancepb.DRPCInstancesServer.
func (s *service) FetchTargets(r *instancepb.FetchTargetsRequest, stream instancepb.DRPCInstances_FetchTargetsStream) error {
	if err := s.checkFleet(r.GetFleet()); err != nil {
		return err
	}
	if s.node.targetListProvider == nil {
		return Unavailable.New("this instance hands out no list of targets")
	}
	ctx, cancel := context.WithTimeout(stream.Context(), targetListWait)
	defer cancel()
	if !s.waitForTargetSlot(ctx) {
		return Unavailable.New("%d lists of targets are handed out already", maxTargetLists)
	}
	defer func() { <-s.targetSlots }()
	list, err := s.node.targetListProvider(r.GetDigests())
	if err != nil {
		return err
	}
	return sendSnapshot(stream, list)
}

// waitForTargetSlot takes one of targetSlots. It reports false if too many callers wait already, or if the context ends first.
func (s *service) waitForTargetSlot(ctx context.Context) bool {
	select {
	case s.targetSlots <- struct{}{}:
		return true
	default:
	}
	select {
	case s.targetWaiters <- struct{}{}:
		defer func() { <-s.targetWaiters }()
	default:
		return false
	}
	select {
	case s.targetSlots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendSnapshot sends a snapshot in parts.
func sendSnapshot(stream interface {
	Send(part *instancepb.SnapshotPart) error
}, snapshot ConfigSnapshot,
) error {
	for rest := snapshot.Content; ; {
		part := rest[:min(len(rest), snapshotPartBytes)]
		rest = rest[len(part):]
		last := len(rest) == 0
		if err := stream.Send(&instancepb.SnapshotPart{Version: snapshot.Version, Era: snapshot.Era, Content: part, Last: last}); err != nil || last {
			return err
		}
	}
}

// State implements instancepb.DRPCInstancesServer.
func (s *service) State(ctx context.Context, r *instancepb.StateRequest) (*instancepb.StateResponse, error) {
	if err := s.checkFleet(r.GetFleet()); err != nil {
		return nil, err
	}
	b, err := s.node.dumpState(ctx)
	return &instancepb.StateResponse{Content: b}, err
}

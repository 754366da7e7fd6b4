package instance

import (
	"context"
	"errors"
	"net"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/cuminroute/cuminroute/pkg/peer/instance/instancepb"
)

const (
	// serveTimeout bounds a connection. Peers open one for each call.
	serveTimeout = 15 * time.Second
	// maxConnections bounds the calls served at the same time. Callers that find no room turn to
	// another peer.
	maxConnections = 64
	// maxSnapshots bounds the snapshots handed out at the same time: each holds the whole configuration in
	// memory, and an instance has 128 MB for all control.
	maxSnapshots = 2
	// partBytes is the size of one part of a snapshot, below the 4 MiB that drpc accepts.
	partBytes = 256 << 10
)

// service answers calls of other instances.
type service struct {
	node      *Node
	snapshots chan struct{} // snapshots has one element for each snapshot that is handed out
}

// serve accepts connections until the listener is closed.
func (n *Node) serve() {
	mux := drpcmux.New()
	if err := instancepb.DRPCRegisterInstances(mux, &service{node: n, snapshots: make(chan struct{}, maxSnapshots)}); err != nil {
		n.logger.Error().Err(err).Msg("calls of other instances cannot be served")
		return
	}
	server := drpcserver.New(mux)
	room := make(chan struct{}, maxConnections)
	for n.ctx.Err() == nil {
		conn, err := n.tcp.Accept()
		if err != nil {
			n.pause(readPause)
			continue
		}
		select {
		case room <- struct{}{}:
			n.start(func() {
				n.serveOne(server, conn)
				<-room
			})
		default:
			_ = conn.Close()
		}
	}
}

func (n *Node) serveOne(server *drpcserver.Server, conn net.Conn) {
	ctx, cancel := context.WithTimeout(n.ctx, serveTimeout)
	defer cancel()
	_ = conn.SetDeadline(time.Now().Add(serveTimeout))
	n.counters.calls.Inc(1)
	if err := server.ServeOne(ctx, conn); err != nil {
		n.logger.Debug().Err(err).Msg("connection of another instance ended")
	}
}

func (s *service) check(fleet string) error {
	if fleet != s.node.fleet {
		return Malformed.New("call of fleet %q, this is %q", fleet, s.node.fleet)
	}
	return nil
}

// FetchChanges implements instancepb.DRPCInstancesServer.
func (s *service) FetchChanges(_ context.Context, r *instancepb.FetchChangesRequest) (*instancepb.FetchChangesResponse, error) {
	if err := s.check(r.GetFleet()); err != nil {
		return nil, err
	}
	changes, err := s.node.history.after(r.GetAfter(), s.node.View().Version)
	if errors.Is(err, ErrTrimmed) {
		return &instancepb.FetchChangesResponse{Trimmed: true}, nil
	}
	answer := &instancepb.FetchChangesResponse{}
	for _, c := range changes {
		answer.Changes = append(answer.Changes, &instancepb.Change{Version: c.Version, Content: c.Content})
	}
	return answer, err
}

// snapshotSource returns who gives the configuration in force, or nil if there is none.
func (n *Node) snapshotSource() func(context.Context) (ConfigSnapshot, error) {
	switch {
	case n.snapshots != nil:
		return n.snapshots
	case n.applier != nil && n.View().Ready():
		return n.applier.Snapshot
	default:
		return nil
	}
}

// FetchSnapshot implements instancepb.DRPCInstancesServer.
func (s *service) FetchSnapshot(r *instancepb.FetchSnapshotRequest, stream instancepb.DRPCInstances_FetchSnapshotStream) error {
	if err := s.check(r.GetFleet()); err != nil {
		return err
	}
	source := s.node.snapshotSource()
	if source == nil {
		return Unavailable.New("no configuration is in force here")
	}
	select {
	case s.snapshots <- struct{}{}:
		defer func() { <-s.snapshots }()
	default:
		return Unavailable.New("%d snapshots are handed out already", maxSnapshots)
	}
	whole, err := source(stream.Context())
	if err != nil {
		return err
	}
	for rest := whole.Content; ; {
		part := rest[:min(len(rest), partBytes)]
		rest = rest[len(part):]
		last := len(rest) == 0
		if err := stream.Send(&instancepb.SnapshotPart{Version: whole.Version, Content: part, Last: last}); err != nil || last {
			return err
		}
	}
}

// State implements instancepb.DRPCInstancesServer.
func (s *service) State(ctx context.Context, r *instancepb.StateRequest) (*instancepb.StateResponse, error) {
	if err := s.check(r.GetFleet()); err != nil {
		return nil, err
	}
	b, err := s.node.dump(ctx)
	return &instancepb.StateResponse{Content: b}, err
}

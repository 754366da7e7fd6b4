package membership

import "net/netip"

// PacketKind is the purpose of a packet.
type PacketKind string

const (
	// Ping asks for an Ack with the same sequence number.
	Ping PacketKind = "Ping"
	// Ack answers a Ping, or reports to the origin of a PingRequest that the target answered.
	Ack PacketKind = "Ack"
	// PingRequest asks a relay to probe Target.
	PingRequest PacketKind = "PingRequest"
	// Nack reports to the origin of a PingRequest that the target has not answered the relay.
	Nack PacketKind = "Nack"
	// Gossip carries updates and needs no response.
	Gossip PacketKind = "Gossip"
	// Sync carries the sender's digest. The receiver responds with its entries of the buckets that differ, and
	// with a SyncReply.
	Sync PacketKind = "Sync"
	// SyncReply carries the digest of a member that received a Sync. The receiver responds with its entries of
	// the buckets that differ.
	SyncReply PacketKind = "SyncBack"
	// SyncEntries carries entries, which are member records and items, of the buckets that differ.
	SyncEntries PacketKind = "SyncEntries"
)

func (k PacketKind) valid() bool {
	switch k {
	case Ping, Ack, PingRequest, Nack, Gossip, Sync, SyncReply, SyncEntries:
		return true
	}
	return false
}

const (
	// MaxPacketBytes bounds an encoded packet. It fits the smallest usual path MTU (1,280 bytes for
	// IPv6) after the IP and UDP headers.
	MaxPacketBytes = 1200
	// DigestBuckets is the number of buckets of a digest. With 2,700 members a bucket has 21 entries,
	// which is about one packet.
	DigestBuckets = 128
)

// Packet is one message between two members.
type Packet struct {
	To       netip.AddrPort // To is the destination. It is not encoded.
	Kind     PacketKind
	Fleet    string // Fleet must equal the receiver's, so that fleets that reuse addresses stay separate.
	From     Member
	Sequence uint64         // Sequence matches an Ack or Nack to its Ping or PingRequest.
	Target   netip.AddrPort // Target is the member to probe, in PingRequest.
	Version  ConfigVersion
	Load     LoadReport
	Members  []Member // Members are records of other members, and any record in which the receiver is not alive.
	Items    []Item   // Items are drains and quarantines.
	Digest   []uint32 // Digest has DigestBuckets values in Sync and SyncReply, and none otherwise.
}

// Validate returns an error if the packet could not have been sent by a correct member.
func (p Packet) Validate() error {
	if !p.Kind.valid() {
		return Malformed.New("packet kind %q is unknown", p.Kind)
	}
	if err := validateString("fleet", p.Fleet, MaxNameBytes); err != nil {
		return err
	}
	if p.Kind == PingRequest {
		if err := validateAddress(p.Target); err != nil {
			return err
		}
	}
	if digest := p.Kind == Sync || p.Kind == SyncReply; digest && len(p.Digest) != DigestBuckets || !digest && len(p.Digest) != 0 {
		return Malformed.New("%s packet has a digest of %d values", p.Kind, len(p.Digest))
	}
	return p.validateEntries()
}

func (p Packet) validateEntries() error {
	if err := p.From.Validate(); err != nil {
		return err
	}
	if s := p.From.State; s != Alive && s != Left {
		return Malformed.New("state that the sender reports of itself is %s", s)
	}
	for _, m := range p.Members {
		if err := m.Validate(); err != nil {
			return err
		}
	}
	for _, i := range p.Items {
		if k := i.Kind(); k != DrainKind && k != QuarantineKind {
			return Malformed.New("item of kind %s is not allowed outside the header", k)
		}
		if err := i.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// Size returns an upper bound of the encoded size in bytes.
func (p Packet) Size() int {
	n := p.headerSize() + 4*len(p.Digest)
	for _, m := range p.Members {
		n += m.Size()
	}
	for _, i := range p.Items {
		n += i.Size()
	}
	return n
}

// headerSize returns an upper bound of the encoded size of everything but the lists: kind 2, sequence 11, target 20,
// digest tag and length 4, and the fields that have a Size method.
func (p Packet) headerSize() int {
	return 37 + 2 + len(p.Fleet) + p.From.Size() + p.Version.Size() + p.Load.Size()
}

// Size returns an upper bound of the encoded size in bytes: list tag and length 3, address 20, incarnation 11, state 2,
// and two strings with tag and length.
func (m Member) Size() int {
	return 40 - 16 + m.Address.Addr().BitLen()/8 + len(m.Name) + len(m.DataCentre)
}

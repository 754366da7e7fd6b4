package membership

import (
	"encoding/binary"
	"net/netip"
	"time"
)

// ItemKind names the kind of an item.
type ItemKind string

const (
	// ConfigVersionKind is the kind of ConfigVersion.
	ConfigVersionKind ItemKind = "Version"
	// DrainKind is the kind of Drain.
	DrainKind ItemKind = "Drain"
	// QuarantineKind is the kind of Quarantine.
	QuarantineKind ItemKind = "Quarantine"
	// LoadReportKind is the kind of LoadReport.
	LoadReportKind ItemKind = "LoadShare"
)

const (
	// MaxTargetBytes bounds the target name of a drain, so that a drain always fits a packet.
	MaxTargetBytes = 128
	// MaxItemTTL bounds how long a drain may last, and twice this time bounds how far in the future any item may
	// expire, so that a wrong clock cannot fill the item lists permanently.
	MaxItemTTL = 7 * 24 * time.Hour
	// MaxItems bounds the drains and quarantines kept. There are few of them at 2,700 instances; the bound
	// protects memory and the synchronization traffic against a faulty sender.
	MaxItems = 2048
)

// Item is a piece of state other than a member record that members send to each other: a ConfigVersion,
// LoadReport, Drain or Quarantine. A ConfigVersion and a LoadReport describe the sender of a packet and are sent
// in the header. Drains and quarantines are gossiped. Of several items with the same kind and key, all members
// keep the same one, whatever the order of arrival.
type Item interface {
	// Kind returns the kind of the item.
	Kind() ItemKind
	// Key returns the key, which distinguishes items of one kind.
	Key() string
	// Size returns an upper bound of the encoded size in bytes.
	Size() int
	// Validate returns an error if a field is out of bounds.
	Validate() error
	// Supersedes reports whether the item supersedes another of the same kind and key.
	Supersedes(other Item) bool
	// Expired reports whether the item may be removed.
	Expired(now time.Time) bool
	// sum returns a value that changes with the item's content. It is hashed into the digest that members compare.
	sum() uint64
}

// ConfigVersion is the sender's active configuration version. It is sent in the header of every packet
// and is not relayed, since a receiver that lacks the version fetches it from the sender.
type ConfigVersion struct {
	Number uint64 `json:"Number"`
}

// LoadReport is the sender's own load. It is sent in the header of every packet and is not relayed,
// since the traffic of relaying every member's load to every other grows with the square of the member count.
// The reports that a member receives with its probes are a uniform sample of the cluster.
type LoadReport struct {
	Origin  netip.AddrPort `json:"Origin"` // Origin is the address of the member.
	At      time.Time      `json:"At"`
	Running uint32         `json:"Running"` // Running counts the requests in flight.
	Queued  uint32         `json:"Queued"`  // Queued counts the requests that wait for admission.
}

// Drain tells every instance to send a target no new requests until the drain expires.
type Drain struct {
	Target    string    `json:"Target"`
	At        time.Time `json:"At"`                  // At is when the operator set the drain; the one set last is kept.
	Expires   time.Time `json:"Expires"`             // Expires is when every instance removes the drain.
	Cancelled bool      `json:"Cancelled,omitempty"` // Cancelled is set if the operator ended the drain early.
}

// Quarantine tells every instance to refuse requests with a fingerprint.
type Quarantine struct {
	Fingerprint uint64    `json:"Fingerprint"`
	Until       time.Time `json:"Until"`          // Until is when the quarantine ends; the one that ends last is kept.
	Held        bool      `json:"Held,omitempty"` // Held is set if the content is held, not quarantined.
}

// Kind implements Item.
func (ConfigVersion) Kind() ItemKind { return ConfigVersionKind }

// Key implements Item. All versions have the same key.
func (ConfigVersion) Key() string { return "" }

// Size implements Item.
func (ConfigVersion) Size() int { return 11 }

// Validate implements Item.
func (ConfigVersion) Validate() error { return nil }

// Supersedes implements Item: the higher version is kept.
func (v ConfigVersion) Supersedes(other Item) bool { return v.Number > other.(ConfigVersion).Number }

// Expired implements Item.
func (ConfigVersion) Expired(time.Time) bool { return false }

func (v ConfigVersion) sum() uint64 { return v.Number }

// Kind implements Item.
func (LoadReport) Kind() ItemKind { return LoadReportKind }

// Key implements Item: each member has one load report.
func (l LoadReport) Key() string { return l.Origin.String() }

// Size implements Item. The origin is the sender and is not encoded again.
func (LoadReport) Size() int { return 26 }

// Validate implements Item.
func (LoadReport) Validate() error { return nil }

// Supersedes implements Item: the later report is kept.
func (l LoadReport) Supersedes(other Item) bool { return l.At.After(other.(LoadReport).At) }

// Expired implements Item.
func (l LoadReport) Expired(now time.Time) bool { return now.Sub(l.At) > loadReportTTL }

func (l LoadReport) sum() uint64 { return uint64(l.At.UnixMilli()) }

// Kind implements Item.
func (Drain) Kind() ItemKind { return DrainKind }

// Key implements Item: each target has one drain.
func (d Drain) Key() string { return d.Target }

// Size implements Item.
func (d Drain) Size() int { return 32 + len(d.Target) }

// Validate implements Item.
func (d Drain) Validate() error {
	if d.Target == "" {
		return Malformed.New("drain has no target")
	}
	if ttl := d.Expires.Sub(d.At); ttl > MaxItemTTL {
		return Malformed.New("drain lasts %s, at most %s is accepted", ttl, MaxItemTTL)
	}
	return validateString("drain target", d.Target, MaxTargetBytes)
}

// Supersedes implements Item: the drain set later is kept, then the one that expires later, then the cancelled one.
func (d Drain) Supersedes(other Item) bool {
	o := other.(Drain)
	if a, b := d.At.UnixMilli(), o.At.UnixMilli(); a != b {
		return a > b
	}
	if a, b := d.Expires.UnixMilli(), o.Expires.UnixMilli(); a != b {
		return a > b
	}
	return d.Cancelled && !o.Cancelled
}

// Expired implements Item.
func (d Drain) Expired(now time.Time) bool { return !now.Before(d.Expires) }

func (d Drain) sum() uint64 {
	s := uint64(d.At.UnixMilli())*31 + uint64(d.Expires.UnixMilli())
	if d.Cancelled {
		s ^= 1 << 63
	}
	return s
}

// Kind implements Item.
func (Quarantine) Kind() ItemKind { return QuarantineKind }

// Key implements Item: each fingerprint has at most one quarantine, and at most one with Held set.
func (q Quarantine) Key() string {
	key := binary.BigEndian.AppendUint64(nil, q.Fingerprint)
	if q.Held {
		key = append(key, 'h')
	}
	return string(key)
}

// Size implements Item.
func (Quarantine) Size() int { return 26 }

// Validate implements Item.
func (Quarantine) Validate() error { return nil }

// Supersedes implements Item: the quarantine that ends last is kept.
func (q Quarantine) Supersedes(other Item) bool {
	return q.Until.UnixMilli() > other.(Quarantine).Until.UnixMilli()
}

// Expired implements Item.
func (q Quarantine) Expired(now time.Time) bool { return !now.Before(q.Until) }

func (q Quarantine) sum() uint64 { return uint64(q.Until.UnixMilli()) }

package membership

import (
	"net/netip"
	"unicode/utf8"

	"github.com/joomcode/errorx"
)

// State is the state of a member.
type State string

const (
	// Alive members have announced themselves and are not suspected.
	Alive State = "Alive"
	// Suspect members did not answer a probe and may still refute the suspicion.
	Suspect State = "Suspect"
	// Dead members did not refute a suspicion in time.
	Dead State = "Dead"
	// Left members announced their departure.
	Left State = "Left"
)

// rank orders states of the same incarnation; the state with the higher rank takes precedence.
func (s State) rank() int {
	switch s {
	case Alive:
		return 1
	case Suspect:
		return 2
	case Dead:
		return 3
	case Left:
		return 4
	}
	return 0
}

// Live reports whether a member in this state takes part in the cluster: it is Alive or Suspect.
func (s State) Live() bool {
	return s == Alive || s == Suspect
}

// MaxNameBytes bounds the name and the data centre of a member, so that a record always fits a packet.
const MaxNameBytes = 64

// MaxIncarnation bounds incarnation numbers, so that a refutation can always have a higher one.
const MaxIncarnation = 1 << 56

// Member is the record of one instance, which is identified by Address. Of two records of an instance, the one
// with the higher incarnation number is the newer one.
type Member struct {
	Name        string         `json:"Name"`
	DataCentre  string         `json:"DataCentre"`
	Address     netip.AddrPort `json:"Address"`
	Incarnation uint64         `json:"Incarnation"`
	State       State          `json:"State"`
}

// Validate returns an error if the member's fields are out of bounds.
func (m Member) Validate() error {
	if err := validateAddress(m.Address); err != nil {
		return err
	}
	if err := validateString("member name", m.Name, MaxNameBytes); err != nil {
		return err
	}
	if err := validateString("data centre", m.DataCentre, MaxNameBytes); err != nil {
		return err
	}
	switch {
	case m.Incarnation == 0 || m.Incarnation > MaxIncarnation:
		return Malformed.New("incarnation %d is not from 1 to %d", m.Incarnation, uint64(MaxIncarnation))
	case m.State.rank() == 0:
		return Malformed.New("member state %q is not one of Alive, Suspect, Dead, Left", m.State)
	}
	return nil
}

// validateString rejects strings that do not fit a packet or cannot be encoded in one. A single string that is
// not UTF-8 would prevent every packet that contains it from being sent.
func validateString(what, s string, limit int) error {
	if len(s) > limit || !utf8.ValidString(s) {
		return Malformed.New("%s has %d bytes, at most %d bytes of UTF-8 are accepted", what, len(s), limit)
	}
	return nil
}

func validateAddress(a netip.AddrPort) error {
	if !a.IsValid() || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().Zone() != "" {
		return Malformed.New("%q is not a usable address and port without a zone", a)
	}
	return nil
}

// Supersedes reports whether m replaces another record of the same address.
func (m Member) Supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.State.rank() > other.State.rank()
}

var namespace = errorx.NewNamespace("membership")

// Malformed is the type of errors for packets, members and items that are out of bounds.
var Malformed = namespace.NewType("malformed")

package gossip

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

const (
	fieldRegion     protowire.Number = 25
	fieldRegionSize protowire.Number = 26
	fieldTokenHeld  protowire.Number = 28 // microseconds
	fieldRestricted protowire.Number = 27
)

// A RegionMessage is the cross-region part of a Message.
type RegionMessage struct {
	// Region is set if Aggregates and Notices cover a whole region. Older versions ignore such
	// aggregates because they name no data centre.
	Region     string
	RegionSize int           // live instances of the sender's region that it receives from, itself included
	TokenHeld  time.Duration // how long the sender held the token that it echoes; zero: not sent
	Restricted bool          // prompt parts in the notices must not leave the region
}

func (m *RegionMessage) append(b []byte) []byte {
	if m.Region != "" {
		b = appendBytes(b, fieldRegion, []byte(m.Region))
	}
	b = appendUint(b, fieldRegionSize, uint64(max(0, m.RegionSize)))
	return appendUint(b, fieldRestricted, protowire.EncodeBool(m.Restricted))
}

func (m *RegionMessage) decode(f field) {
	switch f.number {
	case fieldRegion:
		m.Region = string(f.bytes)
	case fieldRegionSize:
		m.RegionSize = boundedCount(f.value)
	case fieldTokenHeld:
		m.TokenHeld = fromMicroseconds(f.value)
	case fieldRestricted:
		m.Restricted = f.value != 0
	}
}

// appendHeld is separate from append because the duration differs between receivers.
func appendHeld(b []byte, held time.Duration) []byte {
	return appendUint(b, fieldTokenHeld, microseconds(held))
}

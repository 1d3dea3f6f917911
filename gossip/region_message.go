package gossip

// This file encodes the cross-region part of messages.

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// Field numbers of the cross-region part of a Message.
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
	Region string
	// RegionSize is the number of live instances of the sender's region that it receives from,
	// itself included.
	RegionSize int
	// TokenHeld is how long the sender has held the token that it echoes; zero: not sent.
	TokenHeld time.Duration
	// Restricted is set if prompt parts in the notices must not leave the region.
	Restricted bool
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

// appendHeld appends how long the echoed token was held, which differs between receivers.
func appendHeld(b []byte, held time.Duration) []byte {
	return appendUint(b, fieldTokenHeld, microseconds(held))
}

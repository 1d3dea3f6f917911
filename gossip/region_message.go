package gossip

// This file encodes the cross-region part of messages.

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// Field numbers of the cross-region part of a Message.
const (
	fieldRegionOf  protowire.Number = 25
	fieldHearsHome protowire.Number = 26
	fieldHeld      protowire.Number = 28 // microseconds
	fieldStays     protowire.Number = 27
)

// A RegionMessage is the cross-region part of a Message.
type RegionMessage struct {
	// RegionOf is set if Sums and Notices aggregate a whole region. Older versions ignore such
	// sums because they name no data centre.
	RegionOf string
	// HearsHome is the number of live instances of the sender's region that it receives from,
	// itself included.
	HearsHome int
	// Held is how long the sender has held the token that it echoes; zero: not sent.
	Held time.Duration
	// Stays is set if prompt parts in the notices must not leave the region.
	Stays bool
}

func (m *RegionMessage) append(b []byte) []byte {
	if m.RegionOf != "" {
		b = appendBytes(b, fieldRegionOf, []byte(m.RegionOf))
	}
	b = appendUint(b, fieldHearsHome, uint64(max(0, m.HearsHome)))
	return appendUint(b, fieldStays, protowire.EncodeBool(m.Stays))
}

func (m *RegionMessage) decode(f field) {
	switch f.number {
	case fieldRegionOf:
		m.RegionOf = string(f.bytes)
	case fieldHearsHome:
		m.HearsHome = boundedCount(f.value)
	case fieldHeld:
		m.Held = fromMicroseconds(f.value)
	case fieldStays:
		m.Stays = f.value != 0
	}
}

// appendHeld appends how long the echoed token was held, which differs between receivers.
func appendHeld(b []byte, held time.Duration) []byte {
	return appendUint(b, fieldHeld, microseconds(held))
}

package gossip

// This file encodes what is told between regions.

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// The fields of a Message for regions.
const (
	fieldRegionOf  protowire.Number = 25
	fieldHearsHome protowire.Number = 26
	fieldHeld      protowire.Number = 28 // microseconds
	fieldStays     protowire.Number = 27
)

// A RegionMessage is the part of a Message for regions.
type RegionMessage struct {
	// RegionOf is set where Sums and Notices are those of all instances of a region. An
	// instance that does not know it passes over such sums, which name no data centre.
	RegionOf string
	// HearsHome is how many instances of its own region the sender hears, itself among them.
	HearsHome int
	// Held is how long the sender has held the token that it echoes; zero: not told.
	Held time.Duration
	// Stays is set where parts of the message's notices may not be told in other regions.
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

// appendHeld adds for how long the echoed token was held, which differs from receiver to
// receiver as the echo does.
func appendHeld(b []byte, held time.Duration) []byte {
	return appendUint(b, fieldHeld, microseconds(held))
}

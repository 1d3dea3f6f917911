// Package inventory reports the build, settings and configuration of each instance of a fleet.
//
// Each instance sends a Summary of at most 16 bytes with its heartbeats. A scheduler, which receives
// all heartbeats, can list the Fleet. A Detail is larger and is requested from its instance.
package inventory

import (
	"encoding/binary"
	"fmt"
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// A Summary says what one instance runs.
type Summary struct {
	Build        uint32 // Hash of the build
	Settings     uint32 // Hash of the settings in force, without instance-specific ones
	Version      int64  // of the configuration in force; zero: none
	Ready        bool
	Rejected     bool // the newest settings file was rejected as invalid
	NeedsRestart bool // changed settings require a restart
}

const (
	flagReady = 1 << iota
	flagRejected
	flagNeedsRestart
)

// summaryHeaderSize is the size of an encoded Summary without its version, in bytes.
const summaryHeaderSize = 9

// Append appends the encoding of s to b.
func (s Summary) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, s.Build)
	b = binary.BigEndian.AppendUint32(b, s.Settings)
	var flags byte
	for flag, set := range map[byte]bool{flagReady: s.Ready, flagRejected: s.Rejected, flagNeedsRestart: s.NeedsRestart} {
		if set {
			flags |= flag
		}
	}
	b = append(b, flags)
	return binary.AppendUvarint(b, uint64(max(0, s.Version)))
}

// DecodeSummary decodes a Summary. Trailing data, written by newer builds, is ignored.
func DecodeSummary(b []byte) (Summary, bool) {
	if len(b) <= summaryHeaderSize {
		return Summary{}, false
	}
	version, n := binary.Uvarint(b[summaryHeaderSize:])
	if n <= 0 || version > math.MaxInt64 {
		return Summary{}, false
	}
	flags := b[summaryHeaderSize-1]
	return Summary{
		Build: binary.BigEndian.Uint32(b), Settings: binary.BigEndian.Uint32(b[4:]), Version: int64(version),
		Ready: flags&flagReady != 0, Rejected: flags&flagRejected != 0, NeedsRestart: flags&flagNeedsRestart != 0,
	}, true
}

// Hash returns a hash of text, such as the description of a build.
func Hash(text string) uint32 { return uint32(xxhash.Sum64String(text)) }

// HashText formats a hash as 8 hexadecimal digits.
func HashText(hash uint32) string { return fmt.Sprintf("%08x", hash) }

// HashFields returns a hash of the paths and values of fields, independent of map order.
func HashFields(fields map[string]string) uint32 {
	var all strings.Builder
	for _, path := range sortedPaths(fields) {
		fmt.Fprintf(&all, "%q=%q\n", path, fields[path])
	}
	return Hash(all.String())
}

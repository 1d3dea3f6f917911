// Package inventory tells what each instance of a fleet runs: its build, its settings in
// force, its configuration.
//
// Each instance says a Mark of itself with its heartbeats, 16 bytes at most. Whoever hears
// all of them, a scheduler, can list the Fleet; a Detail, which is long, is asked of the one
// instance that it is about. The package compares and shows these; it opens no connection
// but those of its Client.
package inventory

// This file defines what an instance says of itself with a heartbeat.

import (
	"encoding/binary"
	"fmt"
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// A Mark says what one instance runs.
type Mark struct {
	Build    uint32 // Hash of the build
	Settings uint32 // Hash of the settings in force, without what is an instance's own
	Version  int64  // of the configuration in force; zero: none
	Ready    bool
	Refused  bool // the newest settings file has faults and was kept out
	Waiting  bool // changed settings wait for a restart
}

// The flags of a Mark.
const (
	flagReady = 1 << iota
	flagRefused
	flagWaiting
)

// markFixed is the size of a Mark without its version, in bytes.
const markFixed = 9

// Append appends the encoding of m to b.
func (m Mark) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, m.Build)
	b = binary.BigEndian.AppendUint32(b, m.Settings)
	var flags byte
	for flag, set := range map[byte]bool{flagReady: m.Ready, flagRefused: m.Refused, flagWaiting: m.Waiting} {
		if set {
			flags |= flag
		}
	}
	b = append(b, flags)
	return binary.AppendUvarint(b, uint64(max(0, m.Version)))
}

// DecodeMark reads a Mark. It reports false for what is none; more than it knows, of a
// newer build, is passed over.
func DecodeMark(b []byte) (Mark, bool) {
	if len(b) <= markFixed {
		return Mark{}, false
	}
	version, n := binary.Uvarint(b[markFixed:])
	if n <= 0 || version > math.MaxInt64 {
		return Mark{}, false
	}
	flags := b[markFixed-1]
	return Mark{
		Build: binary.BigEndian.Uint32(b), Settings: binary.BigEndian.Uint32(b[4:]), Version: int64(version),
		Ready: flags&flagReady != 0, Refused: flags&flagRefused != 0, Waiting: flags&flagWaiting != 0,
	}, true
}

// Hash names a build or settings by their text.
func Hash(text string) uint32 { return uint32(xxhash.Sum64String(text)) }

// HashText returns a hash as operators see and give it.
func HashText(hash uint32) string { return fmt.Sprintf("%08x", hash) }

// HashFields names fields by their paths and values, in whatever order they are read.
func HashFields(fields map[string]string) uint32 {
	var all strings.Builder
	for _, path := range paths(fields) {
		fmt.Fprintf(&all, "%q=%q\n", path, fields[path])
	}
	return Hash(all.String())
}

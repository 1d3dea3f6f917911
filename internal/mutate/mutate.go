// Package mutate generates random mutations of byte strings for tests that must use the same
// inputs on every run. Finding new inputs is left to Go's fuzzing.
package mutate

import "math/rand/v2"

// A Source generates mutations of its seeds. Equal numbers and seeds give equal sequences. It is
// not safe for concurrent use.
type Source struct {
	rng   *rand.Rand
	seeds [][]byte
}

// New returns a Source of mutations of seeds, of which there must be at least one. number seeds
// its random choices.
func New(number uint64, seeds ...[]byte) *Source {
	return &Source{rng: rand.New(rand.NewPCG(number, 0)), seeds: seeds}
}

// maxChanges bounds the mutations of one result.
const maxChanges = 6

// Next returns a copy of a random seed with 1 to maxChanges mutations.
func (s *Source) Next() []byte {
	out := append([]byte(nil), s.seeds[s.rng.IntN(len(s.seeds))]...)
	for range 1 + s.rng.IntN(maxChanges) {
		out = s.mutateOnce(out)
	}
	return out
}

// mutateOnce replaces one byte, removes up to 7 bytes, or inserts up to 23 bytes of a seed.
func (s *Source) mutateOnce(data []byte) []byte {
	at := s.rng.IntN(len(data) + 1)
	switch s.rng.IntN(3) {
	case 0:
		if at < len(data) {
			data[at] = byte(s.rng.Uint32())
		}
		return data
	case 1:
		end := min(len(data), at+s.rng.IntN(8))
		return append(data[:at:at], data[end:]...)
	}
	other := s.seeds[s.rng.IntN(len(s.seeds))]
	from := s.rng.IntN(len(other) + 1)
	piece := other[from:min(len(other), from+s.rng.IntN(24))]
	return append(append(data[:at:at], piece...), data[at:]...)
}

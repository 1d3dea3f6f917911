// Package mutate generates reproducible random mutations of byte strings for tests.
package mutate

import "math/rand/v2"

// A Source generates mutations of its seeds. It is not safe for concurrent use.
type Source struct {
	rng   *rand.Rand
	seeds [][]byte
}

// New returns a Source of mutations of seeds, of which there must be at least one. Equal arguments
// give equal sequences.
func New(rngSeed uint64, seeds ...[]byte) *Source {
	return &Source{rng: rand.New(rand.NewPCG(rngSeed, 0)), seeds: seeds}
}

const maxMutations = 6

// Next returns a copy of a random seed with 1 to maxMutations mutations.
func (s *Source) Next() []byte {
	out := append([]byte(nil), s.seeds[s.rng.IntN(len(s.seeds))]...)
	for range 1 + s.rng.IntN(maxMutations) {
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

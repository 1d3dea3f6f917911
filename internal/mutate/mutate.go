// Package mutate changes bytes by chance, for tests that are to meet the same bytes in every run;
// what has not been met yet is for Go's fuzzing.
package mutate

import "math/rand/v2"

// A Source makes bytes of some seeds. It is the same for the same number.
type Source struct {
	rng   *rand.Rand
	seeds [][]byte
}

// New returns a Source that begins with these seeds.
func New(number uint64, seeds ...[]byte) *Source {
	return &Source{rng: rand.New(rand.NewPCG(number, 0)), seeds: seeds}
}

// mostChanges bounds the changes of one seed.
const mostChanges = 6

// Next returns a seed with some changes.
func (s *Source) Next() []byte {
	out := append([]byte(nil), s.seeds[s.rng.IntN(len(s.seeds))]...)
	for range 1 + s.rng.IntN(mostChanges) {
		out = s.change(out)
	}
	return out
}

// change changes one byte, takes some out, or puts some of another seed in.
func (s *Source) change(data []byte) []byte {
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

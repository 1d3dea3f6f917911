package limit

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// A Candidate is an instance that may allocate limits.
type Candidate struct {
	ID         uint64
	DataCentre string
}

// AllocatorOf returns the index of the candidate that allocates the limit of endpoint, or -1 if
// there are none. It prefers dataCentre, that of the endpoint, since an instance that can't reach it
// can't send to the endpoint either. Rendezvous hashing spreads limits evenly.
func AllocatorOf(endpoint uint32, dataCentre string, candidates []Candidate) int {
	best := -1
	for i := range candidates {
		if best < 0 || precedes(endpoint, dataCentre, &candidates[i], &candidates[best]) {
			best = i
		}
	}
	return best
}

func precedes(endpoint uint32, dataCentre string, a, b *Candidate) bool {
	if a.DataCentre == b.DataCentre {
		return score(endpoint, a.ID) > score(endpoint, b.ID)
	}
	if a.DataCentre == dataCentre || b.DataCentre == dataCentre {
		return a.DataCentre == dataCentre
	}
	x, y := xxhash.Sum64String(a.DataCentre), xxhash.Sum64String(b.DataCentre)
	return score(endpoint, x) > score(endpoint, y)
}

func score(endpoint uint32, candidate uint64) uint64 {
	var b [12]byte
	binary.LittleEndian.PutUint32(b[:], endpoint)
	binary.LittleEndian.PutUint64(b[4:], candidate)
	return xxhash.Sum64(b[:])
}

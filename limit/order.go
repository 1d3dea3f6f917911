package limit

// This file says which instance divides the rate of an endpoint.

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// A Candidate is an instance that may divide rates.
type Candidate struct {
	ID         uint64
	DataCentre string
}

// Divides returns the one of several candidates that divides the rate of an endpoint in a data
// centre, by its index, or -1 if there is none. One of the endpoint's own data centre goes first,
// since whoever is cut off from there can't send to the endpoint either; otherwise the order of data centres,
// and of instances in one, is drawn for each endpoint (rendezvous hashing), so that rates are spread over
// all, and a candidate that comes or goes moves only its own.
func Divides(endpoint uint32, dataCentre string, candidates []Candidate) int {
	best := -1
	for i := range candidates {
		if best < 0 || goesBefore(endpoint, dataCentre, &candidates[i], &candidates[best]) {
			best = i
		}
	}
	return best
}

func goesBefore(endpoint uint32, dataCentre string, a, b *Candidate) bool {
	if a.DataCentre == b.DataCentre {
		return draw(endpoint, a.ID) > draw(endpoint, b.ID)
	}
	if a.DataCentre == dataCentre || b.DataCentre == dataCentre {
		return a.DataCentre == dataCentre
	}
	x, y := xxhash.Sum64String(a.DataCentre), xxhash.Sum64String(b.DataCentre)
	return draw(endpoint, x) > draw(endpoint, y)
}

func draw(endpoint uint32, name uint64) uint64 {
	var b [12]byte
	binary.LittleEndian.PutUint32(b[:], endpoint)
	binary.LittleEndian.PutUint64(b[4:], name)
	return xxhash.Sum64(b[:])
}

package entry

// This file holds what was read of an answer and waits for its caller.

import "ivyridge/memory"

// maxAhead is how many bytes of one answer may wait: some ten times an engine's ordinary
// answer.
const maxAhead = 128 << 10

// ahead holds the pieces of one answer that wait for its caller.
type ahead struct {
	hold    *memory.Holding
	pieces  [][]byte
	waiting int // bytes
	most    int // that ever waited
}

func (a *ahead) empty() bool { return len(a.pieces) == 0 }

// add copies a piece, if it fits.
func (a *ahead) add(piece []byte) bool {
	if a.waiting+len(piece) > maxAhead || !a.hold.Take(memory.Waiting, pieceBytes(len(piece))) {
		return false
	}
	a.pieces = append(a.pieces, append(make([]byte, 0, len(piece)), piece...))
	a.waiting += len(piece)
	a.most = max(a.most, a.waiting)
	return true
}

// sliceBytes is what a piece takes beside its bytes.
const sliceBytes = 48

func pieceBytes(n int) int64 { return int64(n + sliceBytes) }

// first returns the piece that has waited longest.
func (a *ahead) first() []byte { return a.pieces[0] }

// remove lets go of the piece that has waited longest.
func (a *ahead) remove() {
	n := len(a.pieces[0])
	a.pieces[0] = nil
	a.pieces = a.pieces[1:]
	a.waiting -= n
	a.hold.Give(memory.Waiting, pieceBytes(n))
}

// clear lets go of all.
func (a *ahead) clear() {
	for !a.empty() {
		a.remove()
	}
}

package entry

import (
	"io"
	"testing"

	"ivyridge/memory"
)

// onePiece is an answer of one piece.
type onePiece struct{ read bool }

func (o *onePiece) next() ([]byte, error) {
	if o.read {
		return nil, io.EOF
	}
	o.read = true
	return []byte("data: 1\n\n"), nil
}

func (o *onePiece) renew() {}

// The request's time ends while all that was read has been written and the reader has just
// read one piece more. The piece is dropped, since the caller is to get no more; the relay
// said that the answer was passed on whole.
func TestDroppedPieceIsNotAWholeAnswer(t *testing.T) {
	r := &relay{f: &exchange{}, in: &onePiece{}, beside: true, ahead: ahead{hold: new(memory.Holding)}}
	r.changed.L = &r.mu
	r.freed.Do(func() {}) // by timeUp
	r.lost = true         // by cut
	r.readBeside()
	if err := r.drain(nil); err == nil {
		t.Error("an answer without its last piece counts as passed on whole")
	}
}

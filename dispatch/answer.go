package dispatch

// This file reads answers that are forwarded as a whole, within a limit for all of them together.

import (
	"io"

	"github.com/pkg/errors"

	"ivyridge/memory"
)

const (
	maxAnswer      = 16 << 20 // bytes
	maxHeldAnswers = 64 << 20 // bytes of all answers that are being read or forwarded
	initialAnswer  = 4 << 10  // bytes, of the first buffer
)

// Errors of readAnswer, besides those of reading.
var (
	errAnswerTooLong = errors.New("the answer is too long")
	errAnswerMemory  = errors.New("no memory for the answer")
)

// readAnswer reads an answer of up to limit bytes. Its memory is part of held until the caller closes that.
func readAnswer(body io.Reader, limit int64, held *memory.Reservation) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			size := max(initialAnswer, 2*cap(data))
			if !held.Grow(memory.Bodies, int64(size)) {
				return nil, errAnswerMemory
			}
			grown := append(make([]byte, 0, size), data...)
			held.Shrink(memory.Bodies, int64(cap(data)))
			data = grown
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, errAnswerTooLong
		case err == io.EOF:
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

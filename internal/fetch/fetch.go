// Package fetch makes HTTP calls whose answers are read whole. Of an answer
// that did not come whole it tells how far it came.
package fetch

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// ErrTooLong is the error of an answer that is longer than its reader allows.
var ErrTooLong = errors.New("the answer is too long")

// An Answer is the whole answer to a call.
type Answer struct {
	Status int
	Body   []byte
	First  time.Duration // from the call to the answer's head
	Took   time.Duration // from the call to the answer's end
}

// A CutError is the error of a call whose answer did not come whole.
type CutError struct {
	Begun bool          // the answer's head came
	Bytes int           // of the body that came
	First time.Duration // from the call to the head, if it came
	Took  time.Duration // from the call to its failure
	Err   error
}

func (e *CutError) Error() string {
	if !e.Begun {
		return fmt.Sprintf("no answer in %v: %v", e.Took.Round(time.Millisecond), e.Err)
	}
	return fmt.Sprintf("answer cut after %d bytes and %v: %v", e.Bytes, e.Took.Round(time.Millisecond), e.Err)
}

// Unwrap returns what ended the call.
func (e *CutError) Unwrap() error { return e.Err }

// Do makes a call and reads its answer, whose body may have most bytes. Each
// error is a *CutError.
func Do(client *http.Client, req *http.Request, most int64) (*Answer, error) {
	began := time.Now()
	res, err := client.Do(req)
	if err != nil {
		return nil, &CutError{Took: time.Since(began), Err: err}
	}
	defer res.Body.Close()
	a := &Answer{Status: res.StatusCode, First: time.Since(began)}
	a.Body, err = io.ReadAll(io.LimitReader(res.Body, most+1))
	a.Took = time.Since(began)
	if err == nil && int64(len(a.Body)) > most {
		err = ErrTooLong
	}
	if err != nil {
		return nil, &CutError{Begun: true, Bytes: len(a.Body), First: a.First, Took: a.Took, Err: err}
	}
	return a, nil
}

package poison

// This file says when two requests are the same.

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// A Request is what makes a request the same when it comes again: who sends it, where it
// goes, and its body. Its ID, its deadline, its other headers and how its body is framed are
// new with each.
type Request struct {
	Team   string // empty for a caller without a key
	Method string
	Host   string
	Target string // path and query, as in the request line
	Body   []byte
}

// An ID names all requests that are the same. It is a part of a cryptographic hash, with the
// length of each field before it, so that no caller can make a request that is taken for
// another's: the team is one of the fields, and it is told by the key.
type ID [16]byte

// String returns id in hexadecimal digits.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// ParseID reads what String returns.
func ParseID(text string) (id ID, err error) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(id) {
		return id, errors.Errorf("want %d hexadecimal digits, got %q", 2*len(id), text)
	}
	return ID(data), nil
}

// ID returns that of r. It reads the whole body.
func (r *Request) ID() ID {
	h := sha256.New()
	writeField(h, r.Team)
	writeField(h, r.Method)
	writeField(h, r.host())
	writeField(h, r.Target)
	_, _ = h.Write(r.Body)
	return ID(h.Sum(nil))
}

func writeField(h hash.Hash, text string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(text)))
	_, _ = h.Write(length[:])
	_, _ = h.Write([]byte(text))
}

// An Outline is a part of what makes requests the same, without their bodies: only one whose
// outline is known needs an ID.
type Outline uint64

// Outline returns that of r.
func (r *Request) Outline() Outline {
	var d xxhash.Digest
	d.Reset()
	for _, text := range [...]string{r.Team, r.Method, r.host(), r.Target} {
		_, _ = d.WriteString(text)
		_, _ = d.WriteString("\x00")
	}
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(r.Body)))
	_, _ = d.Write(length[:])
	return Outline(d.Sum64())
}

// host returns the host without its port and in small letters, as routes are found by it.
func (r *Request) host() string {
	host := r.Host
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

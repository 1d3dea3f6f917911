package poison

// This file decides when two requests are identical.

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// A Request holds what makes two requests identical: sender, destination and body. The request ID,
// deadline, other headers and body framing don't count.
type Request struct {
	Team   string // empty for a caller without an API key
	Method string
	Host   string
	Target string // path and query, as in the request line
	Body   []byte
}

// An ID identifies all identical requests. It is a truncated cryptographic hash, so that no caller
// can construct a request that collides with another team's.
type ID [16]byte

// String returns the ID in hexadecimal digits.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// ParseID parses the result of ID.String.
func ParseID(text string) (id ID, err error) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(id) {
		return id, errors.Errorf("want %d hexadecimal digits, got %q", 2*len(id), text)
	}
	return ID(data), nil
}

// ID returns the ID of r. It hashes the whole body.
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

// An Outline is a cheap hash of a request without the content of its body. It is used to skip
// computing the ID of requests that can't be suspects.
type Outline uint64

// Outline returns the outline of r.
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

// host returns the host in lower case and without its port, as routing matches it.
func (r *Request) host() string {
	host := r.Host
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

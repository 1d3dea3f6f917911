package gossip

// This file encodes beliefs once for all instances that ask for them.

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"

	"ivyridge/belief"
	"ivyridge/catalog"
)

// maxUnpacked bounds what a packed part of beliefs holds, in bytes.
const maxUnpacked = 16 << 20

// A packer holds a Table's beliefs as they are sent: a scheduler sends the
// same to some 30 followers at each change, and a large configuration is 750 KB
// unpacked, which fills a link of 200 Mbit/s for a second. It is safe for
// concurrent use.
type packer struct {
	table *belief.Table

	mu       sync.Mutex
	view     *belief.View     // that was current when the beliefs below were packed
	whole    *packed          // nil: not packed since
	parts    map[int64]packed // by the revision after which they changed
	document *catalog.Document
	config   []byte // of document
}

// A packed is what is sent of one revision's endpoints.
type packed struct {
	revision int64
	document *catalog.Document // nil if there is none
	present  []byte            // packed []belief.Record; nil if it is partial
	partial  bool
	changed  []byte // JSON []belief.Record
	gone     []belief.Departure
	digest   uint64

	evacuations []belief.Evacuation
}

// mostChanged is the number of changed endpoints from which everything is sent: packed, a list of
// thousands is not longer.
const mostChanged = 1000

// pack returns the table's beliefs, encoded anew where they have changed: what changed after a
// revision if that is known and asked for, and otherwise everything.
func (p *packer) pack(after int64, partial bool) (packed, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.table.View(); v != p.view {
		p.view, p.whole, p.parts = v, nil, make(map[int64]packed)
	}
	if partial {
		part, ok, err := p.since(after)
		if ok || err != nil {
			return part, err
		}
	}
	if p.whole == nil {
		u := p.table.Snapshot()
		present, err := compress(u.Present)
		if err != nil {
			return packed{}, err
		}
		p.whole = &packed{revision: u.Revision, document: u.Config, present: present, digest: u.Digest, evacuations: u.Evacuations}
	}
	return *p.whole, nil
}

// since returns what changed after a revision. Ok is false if that is not known, or too much.
func (p *packer) since(after int64) (part packed, ok bool, err error) {
	if part, ok = p.parts[after]; ok {
		return part, true, nil
	}
	u, ok := p.table.Since(after)
	if !ok || len(u.Present)+len(u.Gone) > mostChanged {
		return packed{}, false, nil
	}
	part = packed{revision: u.Revision, document: u.Config, partial: true, gone: u.Gone, digest: u.Digest, evacuations: u.Evacuations}
	if len(u.Present) > 0 {
		if part.changed, err = json.Marshal(u.Present); err != nil {
			return packed{}, false, errors.Wrap(err, "pack")
		}
	}
	p.parts[after] = part
	return part, true, nil
}

// packConfig returns a packed configuration, encoded anew if it is another one.
func (p *packer) packConfig(d *catalog.Document) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d == p.document {
		return p.config, nil
	}
	config, err := compress(d)
	if err == nil {
		p.document, p.config = d, config
	}
	return config, err
}

// compress encodes v as JSON, gzipped.
func compress(v any) ([]byte, error) {
	var out bytes.Buffer
	z, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if err := json.NewEncoder(z).Encode(v); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	return out.Bytes(), nil
}

// decompress returns the JSON that compress has packed.
func decompress(data []byte) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	out, err := io.ReadAll(io.LimitReader(z, maxUnpacked))
	return out, errors.Wrap(err, "unpack")
}

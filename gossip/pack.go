package gossip

// This file encodes and caches the state that followers fetch.

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"

	"ivyridge/catalog"
	"ivyridge/discovery"
)

// maxUnpacked bounds the decompressed size of a response part, in bytes.
const maxUnpacked = 16 << 20

// A packer caches the encoded state of a table, which a scheduler sends to all its followers at
// each change. It is safe for concurrent use.
type packer struct {
	table *discovery.Table

	mu       sync.Mutex
	view     *discovery.View  // for which the fields below were packed
	full     *packed          // nil: not packed yet
	partials map[int64]packed // changes by the revision that they follow
	document *catalog.Document
	config   []byte // document in packed form
}

// A packed is the encoded state of one revision.
type packed struct {
	revision  int64
	document  *catalog.Document // nil if there is none
	endpoints []byte            // compressed []discovery.Record; nil if partial
	partial   bool
	changed   []byte // JSON []discovery.Record
	removed   []discovery.Deletion
	digest    uint64

	evacuations []discovery.Evacuation
}

// maxPartialChanges bounds partial responses. With more changes the compressed list is no larger.
const maxPartialChanges = 1000

// pack returns the encoded state: the changes since revision after if partial is set and they are
// known, and otherwise everything.
func (p *packer) pack(after int64, partial bool) (packed, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.table.View(); v != p.view {
		p.view, p.full, p.partials = v, nil, make(map[int64]packed)
	}
	if partial {
		part, ok, err := p.packChanges(after)
		if ok || err != nil {
			return part, err
		}
	}
	if p.full == nil {
		u := p.table.Snapshot()
		endpoints, err := compress(u.Endpoints)
		if err != nil {
			return packed{}, err
		}
		p.full = &packed{revision: u.Revision, document: u.Config, endpoints: endpoints, digest: u.Digest, evacuations: u.Evacuations}
	}
	return *p.full, nil
}

// packChanges returns the changes since revision after; ok is false if unknown or too many.
func (p *packer) packChanges(after int64) (part packed, ok bool, err error) {
	if part, ok = p.partials[after]; ok {
		return part, true, nil
	}
	u, ok := p.table.Since(after)
	if !ok || len(u.Endpoints)+len(u.Deleted) > maxPartialChanges {
		return packed{}, false, nil
	}
	part = packed{revision: u.Revision, document: u.Config, partial: true, removed: u.Deleted, digest: u.Digest, evacuations: u.Evacuations}
	if len(u.Endpoints) > 0 {
		if part.changed, err = json.Marshal(u.Endpoints); err != nil {
			return packed{}, false, errors.Wrap(err, "pack")
		}
	}
	p.partials[after] = part
	return part, true, nil
}

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

// compress returns v as gzipped JSON.
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

// decompress reverses the gzip step of compress.
func decompress(data []byte) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	out, err := io.ReadAll(io.LimitReader(z, maxUnpacked))
	return out, errors.Wrap(err, "unpack")
}

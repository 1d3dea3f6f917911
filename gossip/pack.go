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
	view     *belief.View // that was current when the beliefs were packed
	revision int64
	present  []byte
	document *catalog.Document
	config   []byte

	evacuations []belief.Evacuation
}

// A packed is what a packer holds of one revision.
type packed struct {
	revision int64
	present  []byte // packed []belief.Record
	version  int64  // of the configuration; zero if there is none
	config   []byte // packed catalog.Document; nil if there is none

	evacuations []belief.Evacuation
}

// pack returns the table's beliefs, encoded anew where they have changed.
func (p *packer) pack() (packed, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.table.View(); v != p.view {
		if err := p.encode(); err != nil {
			return packed{}, err
		}
		p.view = v
	}
	out := packed{revision: p.revision, present: p.present, config: p.config, evacuations: p.evacuations}
	if p.document != nil {
		out.version = p.document.Version
	}
	return out, nil
}

func (p *packer) encode() error {
	u := p.table.Snapshot()
	present, err := compress(u.Present)
	if err != nil {
		return err
	}
	if u.Config != p.document {
		config, err := compress(u.Config)
		if err != nil {
			return err
		}
		p.document, p.config = u.Config, config
	}
	p.revision, p.present, p.evacuations = u.Revision, present, u.Evacuations
	return nil
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

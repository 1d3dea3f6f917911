package instance

// This file asks other instances for the requests that end endpoints, and lets operators see
// them and let one go.

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"ivyridge/gossip"
	"ivyridge/internal/fetch"
)

// suspectsWithin is how long another instance is waited for that is asked for its suspects.
const suspectsWithin = time.Second

// askSuspects returns what the instance with a gossip address holds of suspects.
func (i *Instance) askSuspects(address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), suspectsWithin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.peersAddress(address)+gossip.SuspectsPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "suspects")
	}
	a, err := fetch.Do(i.relayClient, req, gossip.MaxSuspects, fetch.Wait{Begin: suspectsWithin})
	if err != nil {
		return nil, errors.Wrap(err, "suspects")
	}
	if a.Status != http.StatusOK {
		return nil, errors.Errorf("suspects: %s answered %d", address, a.Status)
	}
	return a.Body, nil
}

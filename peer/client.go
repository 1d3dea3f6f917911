package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"ivyridge/peer/peerpb"
)

const (
	dialTimeout = 500 * time.Millisecond
	// maxStreams is how many calls one peer may have open: each request
	// that waits at a home is one.
	maxStreams = 20_000
)

// A Client holds the services of one peer.
type Client struct {
	peerpb.Home
	peerpb.Owner
	peerpb.Member
}

// A Dialer keeps a Client a peer address. It is safe for concurrent use.
type Dialer struct {
	http    *http.Client
	tr      *http.Transport
	mu      sync.Mutex
	clients map[string]*Client
	// Cut, if set, is asked before every connection and call whether the
	// address is cut off. Tests cause partitions with it.
	Cut func(addr string) bool
}

// errCut is the error of a call that a test has cut.
type errCut struct{ addr string }

func (e errCut) Error() string { return "peer " + e.addr + " is cut off" }

// NewDialer returns a Dialer that shows keys to its peers.
func NewDialer(keys *Keyring) *Dialer {
	d := &Dialer{clients: make(map[string]*Client)}
	d.tr = &http.Transport{
		TLSClientConfig:     keys.Client(),
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSHandshakeTimeout: 2 * dialTimeout,
		ForceAttemptHTTP2:   true,
		IdleConnTimeout:     time.Minute,
		HTTP2: &http.HTTP2Config{
			// A peer that does not answer a ping is given up, with all
			// the calls that wait on it.
			SendPingTimeout: 2 * time.Second,
			PingTimeout:     time.Second,
		},
	}
	d.http = &http.Client{Transport: d}
	return d
}

// RoundTrip carries one call, unless a test has cut the address off.
func (d *Dialer) RoundTrip(r *http.Request) (*http.Response, error) {
	if d.Cut != nil && d.Cut(r.URL.Host) {
		return nil, errCut{r.URL.Host}
	}
	return d.tr.RoundTrip(r)
}

// To returns the client of the peer at addr.
func (d *Dialer) To(addr string) *Client {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.clients[addr]
	if c == nil {
		url := "https://" + addr
		c = &Client{
			Home:   peerpb.NewHomeProtobufClient(url, d.http),
			Owner:  peerpb.NewOwnerProtobufClient(url, d.http),
			Member: peerpb.NewMemberProtobufClient(url, d.http),
		}
		d.clients[addr] = c
	}
	return c
}

// Forget drops the client of an address that is no longer listed.
func (d *Dialer) Forget(listed map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for addr := range d.clients {
		if !listed[addr] {
			delete(d.clients, addr)
		}
	}
}

// Close drops all idle connections.
func (d *Dialer) Close() { d.tr.CloseIdleConnections() }

// A Server answers the peer services.
type Server struct {
	http *http.Server
}

// Services are the parts of an instance that answer its peers.
type Services struct {
	Home   peerpb.Home
	Owner  peerpb.Owner
	Member peerpb.Member
}

// NewServer returns the server of an instance's peer listener.
func NewServer(keys *Keyring, s Services) *Server {
	mux := http.NewServeMux()
	for _, h := range []peerpb.TwirpServer{
		peerpb.NewHomeServer(s.Home),
		peerpb.NewOwnerServer(s.Owner),
		peerpb.NewMemberServer(s.Member),
	} {
		mux.Handle(h.PathPrefix(), h)
	}
	return &Server{&http.Server{
		Handler:           mux,
		TLSConfig:         keys.Server(),
		ReadHeaderTimeout: 5 * time.Second,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
	}}
}

// Serve answers on l until Close.
func (s *Server) Serve(l net.Listener) error { return s.http.ServeTLS(l, "", "") }

// Shutdown lets calls in progress end until ctx is done, then cuts them.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return s.http.Close()
	}
	return nil
}

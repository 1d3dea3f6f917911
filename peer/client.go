package peer

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"ivyridge/peer/peerpb"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleFor keeps connections to peers that are seldom needed: a new one
	// costs two handshakes' processor time.
	idleFor = 10 * time.Minute
	// maxStreams is how many calls one peer may have open: each request
	// that waits at a home is one.
	maxStreams     = 20_000
	shutdownWithin = 200 * time.Millisecond
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
	mu      sync.Mutex
	clients map[string]*Client
}

// NewTransport returns the transport between instances, which shows keys to
// the peers.
func NewTransport(keys *Keyring) *http.Transport {
	return &http.Transport{
		TLSClientConfig:     keys.Client(),
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSHandshakeTimeout: 2 * dialTimeout,
		ForceAttemptHTTP2:   true,
		IdleConnTimeout:     idleFor,
		HTTP2: &http.HTTP2Config{
			// A peer that does not answer a ping is given up, with all
			// the calls that wait on it.
			SendPingTimeout: 2 * time.Second,
			PingTimeout:     time.Second,
		},
	}
}

// NewDialer returns a Dialer over a transport.
func NewDialer(rt http.RoundTripper) *Dialer {
	return &Dialer{http: &http.Client{Transport: rt}, clients: make(map[string]*Client)}
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

// Close drops all idle connections.
func (d *Dialer) Close() { d.http.CloseIdleConnections() }

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

// Handler returns the handler of the peer services.
func (s Services) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, h := range []peerpb.TwirpServer{
		peerpb.NewHomeServer(s.Home),
		peerpb.NewOwnerServer(s.Owner),
		peerpb.NewMemberServer(s.Member),
	} {
		mux.Handle(h.PathPrefix(), h)
	}
	return mux
}

// NewServer returns the server of an instance's peer listener. A caller that
// shows no key of the fleet gets no further than the handshake.
func NewServer(keys *Keyring, h http.Handler) *Server {
	return &Server{&http.Server{
		Handler:           h,
		TLSConfig:         keys.Server(),
		ReadHeaderTimeout: 5 * time.Second,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ErrorLog:          log.New(io.Discard, "", 0),
	}}
}

// Serve answers on l until Close.
func (s *Server) Serve(l net.Listener) error { return s.http.ServeTLS(l, "", "") }

// Shutdown lets calls in progress end, for a moment, then cuts them.
func (s *Server) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownWithin)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		return s.http.Close()
	}
	return nil
}

// Close cuts all calls.
func (s *Server) Close() error { return s.http.Close() }

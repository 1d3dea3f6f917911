package operator

// This file serves operators over HTTP, with the counters beside.

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ivyridge/command"
	"ivyridge/node"
)

const maxStatement = 4 << 10

// An Account is an operator who may speak to the instance.
type Account struct {
	Name      string
	TokenHash string // hex SHA-256
	ReadOnly  bool
}

// A Server answers operators.
type Server struct {
	node     *node.Node
	accounts []Account
	log      *zap.Logger
	commands *expvar.Map
}

// NewServer returns a Server. Commands are counted by outcome in commands.
func NewServer(n *node.Node, accounts []Account, log *zap.Logger, commands *expvar.Map) *Server {
	return &Server{n, accounts, log, commands}
}

// Handler returns the handler of the operators' listener.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/statement", s.statement)
	r.Get("/debug/vars", s.vars)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	return r
}

// account returns who sent a request.
func (s *Server) account(q *http.Request) (*Account, bool) {
	token, ok := strings.CutPrefix(q.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, false
	}
	sum := sha256.Sum256([]byte(token))
	var found *Account
	for i := range s.accounts {
		raw, err := hex.DecodeString(s.accounts[i].TokenHash)
		if err == nil && subtle.ConstantTimeCompare(raw, sum[:]) == 1 {
			found = &s.accounts[i]
		}
	}
	return found, found != nil
}

func (s *Server) vars(w http.ResponseWriter, q *http.Request) {
	if _, ok := s.account(q); !ok {
		s.fail(w, http.StatusUnauthorized, errors.New("an operator's bearer token is needed"))
		return
	}
	expvar.Handler().ServeHTTP(w, q)
}

// A Failure is the body of an answer that is not a table.
type Failure struct {
	Error string `json:"error"`
	Col   int    `json:"column,omitempty"`
}

func (s *Server) fail(w http.ResponseWriter, status int, err error) {
	f := Failure{Error: err.Error()}
	var se *SyntaxError
	if errors.As(err, &se) {
		f.Col = se.Col
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(f)
}

func (s *Server) statement(w http.ResponseWriter, q *http.Request) {
	who, ok := s.account(q)
	if !ok {
		s.fail(w, http.StatusUnauthorized, errors.New("an operator's bearer token is needed"))
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxStatement))
	if err != nil {
		s.fail(w, http.StatusRequestEntityTooLarge, err)
		return
	}
	st, err := Parse(string(text))
	if err != nil {
		s.fail(w, http.StatusBadRequest, err)
		return
	}
	if c, ok := st.Command(); ok {
		s.command(w, q.Context(), who, c)
		return
	}
	s.answer(w, s.query(q.Context(), string(text)))
}

func (s *Server) answer(w http.ResponseWriter, t *Table) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(t)
}

// query asks the whole fleet.
func (s *Server) query(ctx context.Context, text string) *Table {
	t := &Table{Rows: [][]string{}}
	for _, a := range s.node.QueryAll(ctx, text) {
		var part Table
		err := a.Err
		if err == nil {
			err = json.Unmarshal(a.Table, &part)
		}
		if err != nil {
			t.Missing = append(t.Missing, a.Instance+": "+err.Error())
			continue
		}
		t.merge(&part)
	}
	t.finish()
	return t
}

// command puts a change in force, and logs who made it.
func (s *Server) command(w http.ResponseWriter, ctx context.Context, who *Account, c command.Command) {
	c.Who = who.Name
	if who.ReadOnly {
		s.commands.Add("forbidden", 1)
		s.fail(w, http.StatusForbidden, errors.Errorf("operator %q may only query", who.Name))
		return
	}
	old, err := s.node.Command(ctx, c)
	if err != nil {
		s.commands.Add("refused", 1)
		s.log.Warn("command refused", zap.String("who", c.Who), zap.String("op", string(c.Op)), zap.String("target", c.Target), zap.Error(err))
		s.fail(w, http.StatusConflict, err)
		return
	}
	s.commands.Add("accepted", 1)
	note := "in force on every instance"
	if old.Version > 0 {
		note += "; replaced " + string(old.Op) + " " + old.Value + " of " + old.Who
	}
	s.answer(w, &Table{Columns: []string{"op", "target", "field", "value"}, Rows: [][]string{{string(c.Op), c.Target, c.Field, c.Value}}, Note: note})
}

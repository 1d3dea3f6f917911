package operator

// This file serves the operators' HTTP interface, including the counters.

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

const maxStatementBytes = 4 << 10

// An Account is an operator who may access the instance.
type Account struct {
	Name      string
	TokenHash string // hex SHA-256 of the bearer token
	ReadOnly  bool
}

// A Server serves operators.
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

// Handler returns the HTTP handler of the operator listener.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/statement", s.handleStatement)
	r.Get("/debug/vars", s.handleVars)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	return r
}

// authenticate returns the account of the request's bearer token, which it compares in constant time.
func (s *Server) authenticate(r *http.Request) (*Account, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
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

func (s *Server) handleVars(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.authenticate(r); !ok {
		s.writeError(w, http.StatusUnauthorized, errors.New("an operator's bearer token is needed"))
		return
	}
	expvar.Handler().ServeHTTP(w, r)
}

// An ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
	Col   int    `json:"column,omitempty"`
}

func (s *Server) writeError(w http.ResponseWriter, status int, err error) {
	body := ErrorResponse{Error: err.Error()}
	var se *SyntaxError
	if errors.As(err, &se) {
		body.Col = se.Col
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) handleStatement(w http.ResponseWriter, r *http.Request) {
	account, ok := s.authenticate(r)
	if !ok {
		s.writeError(w, http.StatusUnauthorized, errors.New("an operator's bearer token is needed"))
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStatementBytes))
	if err != nil {
		s.writeError(w, http.StatusRequestEntityTooLarge, err)
		return
	}
	st, err := Parse(string(text))
	if err != nil {
		s.writeError(w, http.StatusBadRequest, err)
		return
	}
	if c, ok := st.Command(); ok {
		s.execute(w, r.Context(), account, c)
		return
	}
	s.writeTable(w, s.query(r.Context(), string(text)))
}

func (s *Server) writeTable(w http.ResponseWriter, t *Table) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(t)
}

// query evaluates a query on all instances and merges the results.
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

func (s *Server) execute(w http.ResponseWriter, ctx context.Context, account *Account, c command.Command) {
	c.Operator = account.Name
	if account.ReadOnly {
		s.commands.Add("forbidden", 1)
		s.writeError(w, http.StatusForbidden, errors.Errorf("operator %q may only query", account.Name))
		return
	}
	old, err := s.node.Command(ctx, c)
	if err != nil {
		s.commands.Add("refused", 1)
		s.log.Warn("command refused", zap.String("who", c.Operator), zap.String("op", string(c.Op)), zap.String("target", c.Target), zap.Error(err))
		s.writeError(w, http.StatusConflict, err)
		return
	}
	s.commands.Add("accepted", 1)
	note := "in force on every instance"
	if old.Version > 0 {
		note += "; replaced " + string(old.Op) + " " + old.Value + " of " + old.Operator
	}
	s.writeTable(w, &Table{Columns: []string{"op", "target", "field", "value"}, Rows: [][]string{{string(c.Op), c.Target, c.Field, c.Value}}, Note: note})
}

// Command ivyctl checks files, issues keys, and queries and operates instances.
package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"ivyridge/decl"
	"ivyridge/internal/cli"
	"ivyridge/operator"
	"ivyridge/peer"
	"ivyridge/settings"
)

// tokenVariable is the environment variable with the operator's bearer token.
const tokenVariable = "IVYCTL_TOKEN"

type options struct {
	addr, output, statement string
}

func main() {
	o := options{output: "table"}
	p := cli.Parser("ivyctl", "Checks ivyridge's files, issues keys, and queries and operates instances.\n"+
		"  ivyctl check FILE...          check settings and declarations\n"+
		"  ivyctl keys DIR NAME...       issue peer keys; creates the authority if DIR has none\n"+
		"  ivyctl fleet -a ADDR          what every instance runs; see --help\n"+
		"  ivyctl blocked -a ADDR        requests, teams and endpoints that an instance blocks; see --help\n"+
		"  ivyctl sets -a ADDR           the endpoints that an instance selects among; see --help\n"+
		"  ivyctl -a ADDR 'STATEMENT'    send a statement; without one, prompt for statements\n"+
		"The operator's bearer token is read from the environment variable "+tokenVariable+".")
	p.String(&o.addr, "a", "address", "operators' address of an instance")
	p.String(&o.output, "o", "output", "table or json")
	p.AddPositionalValue(&o.statement, "STATEMENT", 1, false, "for example: show refused by class, reason over 30s")
	if len(os.Args) > 1 && os.Args[1] == "fleet" {
		cli.Exit(fleet(os.Args[2:]))
	}
	if len(os.Args) > 1 && os.Args[1] == "blocked" {
		cli.Exit(blocked(os.Args[2:]))
	}
	if len(os.Args) > 1 && os.Args[1] == "sets" {
		cli.Exit(sets(os.Args[2:]))
	}
	// flaggy does not support a variable number of arguments, so these two commands are parsed here.
	if len(os.Args) > 1 && (os.Args[1] == "check" || os.Args[1] == "keys") {
		cli.Exit(runWithArgs(os.Args[1], os.Args[2:]))
	}
	cli.Parse(p)
	cli.Exit(o.runStatements())
}

func runWithArgs(verb string, args []string) (int, error) {
	if verb == "check" {
		return checkAll(args)
	}
	return issueKeys(args)
}

func checkAll(files []string) (int, error) {
	if len(files) == 0 {
		return cli.UsageError, errors.New("ivyctl check: no files given")
	}
	code := cli.OK
	for _, file := range files {
		if err := checkFile(file); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = cli.Failed
		}
	}
	return code, nil
}

// checkFile checks a settings or declarations file, which it distinguishes by the field "listen".
func checkFile(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var kind struct {
		Listen yaml.Node `yaml:"listen"`
	}
	if yaml.Unmarshal(data, &kind) == nil && !kind.Listen.IsZero() {
		_, err = settings.Parse(file, data)
		return err
	}
	_, err = decl.Parse(file, data)
	return err
}

func issueKeys(args []string) (int, error) {
	if len(args) < 2 {
		return cli.UsageError, errors.New("ivyctl keys: want a directory and at least one instance name")
	}
	dir := args[0]
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return cli.Failed, err
	}
	if _, err := os.Stat(dir + "/" + peer.CAKeyFile); err != nil {
		if err := peer.NewAuthority(dir); err != nil {
			return cli.Failed, err
		}
	}
	for _, name := range args[1:] {
		if err := peer.Issue(dir, name); err != nil {
			return cli.Failed, err
		}
	}
	return cli.OK, nil
}

// runStatements sends one statement, or prompts for statements until the end of the input.
func (o *options) runStatements() (int, error) {
	if o.addr == "" {
		return cli.UsageError, errors.New("ivyctl: -a ADDR is needed; see --help")
	}
	if o.output != "table" && o.output != "json" {
		return cli.UsageError, errors.Errorf("ivyctl: -o %s: want table or json", o.output)
	}
	c := operator.NewClient(o.addr, os.Getenv(tokenVariable))
	if o.statement != "" {
		return o.send(c, o.statement)
	}
	in := bufio.NewScanner(os.Stdin)
	for fmt.Print("ivyridge> "); in.Scan(); fmt.Print("ivyridge> ") {
		line := strings.TrimSpace(in.Text())
		if line == "exit" || line == "quit" {
			break
		}
		if line == "" {
			continue
		}
		if _, err := o.send(c, line); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	return cli.OK, in.Err()
}

func (o *options) send(c *operator.Client, text string) (int, error) {
	t, raw, err := c.Send(text)
	if err != nil {
		return cli.Failed, err
	}
	if o.output == "json" {
		fmt.Println(string(raw))
		return cli.OK, nil
	}
	return cli.OK, t.Write(os.Stdout)
}

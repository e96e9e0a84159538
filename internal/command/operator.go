package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/stackspindle/stackspindle/internal/operator"
	"github.com/stackspindle/stackspindle/internal/resource"
	"github.com/stackspindle/stackspindle/internal/timeline"
)

// Flags of the commands for operators.
const (
	flagServer = "server"
	flagToken  = "token"
	flagOutput = "output"
)

func clientFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: flagServer, Value: "http://127.0.0.1:8432", Sources: cli.EnvVars("STACKSPINDLE_SERVER"), Usage: "`URL` of an instance"},
		&cli.StringFlag{Name: flagToken, Sources: cli.EnvVars("STACKSPINDLE_TOKEN"), Usage: "bearer token"},
		&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: "table", Usage: "table or json"},
	}, extra...)
}

func operatorCommands() []*cli.Command {
	return []*cli.Command{
		{Name: "get", Usage: "print resources", ArgsUsage: "KIND [NAME]", Flags: clientFlags(), Action: runGet},
		{Name: "apply", Usage: "store a resource", ArgsUsage: "FILE (- for standard input)", Flags: clientFlags(
			&cli.BoolFlag{Name: "watch", Usage: "wait until it is in force everywhere"}), Action: runApply},
		{Name: "delete", Usage: "delete a resource", ArgsUsage: "KIND NAME", Flags: clientFlags(
			&cli.StringFlag{Name: "resource-version", Usage: "delete this version only"}), Action: runDelete},
		{Name: "watch", Usage: "follow a resource until it is in force everywhere", ArgsUsage: "KIND NAME", Flags: clientFlags(), Action: runWatch},
		{Name: "timeline", Usage: "print the events of all instances in one order", Flags: clientFlags(
			&cli.BoolFlag{Name: "follow", Usage: "go on with new events"},
			&cli.DurationFlag{Name: "since", Usage: "only events of the last `DURATION`"},
			&cli.StringFlag{Name: "group", Usage: "only events of this database group"},
			&cli.BoolFlag{Name: "failovers", Usage: "show where the gap of each failover went"}), Action: runTimeline},
		{Name: "explain", Usage: "tell which member would serve a statement, and why", ArgsUsage: "SQL", Flags: clientFlags(
			&cli.StringFlag{Name: "service", Required: true, Usage: "service, that is the caller's user"},
			&cli.StringFlag{Name: "database", Usage: "database, the service's name by default"},
			&cli.StringFlag{Name: "session", Usage: "name of the session"}), Action: runExplain},
	}
}

// apiClient is an HTTP client of the operator API of an instance.
type apiClient struct {
	base, token string
}

func newAPIClient(cmd *cli.Command) *apiClient {
	return &apiClient{base: strings.TrimSuffix(cmd.String(flagServer), "/"), token: cmd.String(flagToken)}
}

// problemError is an error response of the operator API.
type problemError struct {
	status  int
	problem operator.Problem
}

func (e *problemError) Error() string {
	text := fmt.Sprintf("%s: %s", e.problem.Reason, e.problem.Message)
	if e.problem.Version != "" {
		text += fmt.Sprintf(" (current resourceVersion %s)", e.problem.Version)
	}
	for _, f := range e.problem.Findings {
		text += "\n" + f.String()
	}
	return text
}

func (c *apiClient) do(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < http.StatusBadRequest {
		return resp, nil
	}
	defer resp.Body.Close()
	problem := &problemError{status: resp.StatusCode}
	if err := json.NewDecoder(resp.Body).Decode(&problem.problem); err != nil {
		return nil, errors.New(resp.Status)
	}
	return nil, problem
}

func (c *apiClient) call(ctx context.Context, method, path string, body []byte, into any) error {
	resp, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

func resourcePath(kind, name string) string {
	path := "/v1/resources/" + url.PathEscape(strings.ToLower(kind))
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return path
}

func printJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func runGet(ctx context.Context, cmd *cli.Command) error {
	kind, name := cmd.Args().Get(0), cmd.Args().Get(1)
	if kind == "" {
		return errors.New("get: a KIND is needed: database, service or instance")
	}
	var list []*resource.Resource
	if name == "" {
		if err := newAPIClient(cmd).call(ctx, http.MethodGet, resourcePath(kind, ""), nil, &list); err != nil {
			return err
		}
	} else {
		var one resource.Resource
		if err := newAPIClient(cmd).call(ctx, http.MethodGet, resourcePath(kind, name), nil, &one); err != nil {
			return err
		}
		list = append(list, &one)
	}
	return printResources(cmd, list, name != "")
}

func printResources(cmd *cli.Command, list []*resource.Resource, single bool) error {
	out := cmd.Root().Writer
	if cmd.String(flagOutput) == "json" {
		if single {
			return printJSON(out, list[0])
		}
		return printJSON(out, list)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "KIND\tNAME\tGENERATION\tVERSION\tSUMMARY")
	for _, r := range list {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\n", r.Kind, r.Metadata.Name, r.Metadata.Generation, r.Metadata.ResourceVersion, summary(r))
	}
	return table.Flush()
}

func summary(r *resource.Resource) string {
	switch {
	case r.Database != nil:
		return fmt.Sprintf("%d members, %d connections each, acknowledged by %s", len(r.Database.Members), r.Database.Connections, r.Database.Acknowledgement)
	case r.Service != nil:
		return fmt.Sprintf("databases %s, staleness %s, weight %d", strings.Join(r.Service.Databases, " "), time.Duration(r.Service.Staleness), r.Service.Weight)
	case r.Instance != nil:
		return fmt.Sprintf("%s in %s", r.Instance.Address, r.Instance.DataCentre)
	}
	return ""
}

// runApply stores a document. If the document has no version, the current version is read
// first. A concurrent change between the read and the write is still rejected as a conflict.
func runApply(ctx context.Context, cmd *cli.Command) error {
	raw, err := readDocument(cmd.Args().First())
	if err != nil {
		return err
	}
	document, err := resource.Parse(raw)
	if err != nil {
		return err
	}
	c := newAPIClient(cmd)
	path := resourcePath(string(document.Kind), document.Metadata.Name)
	if document.Metadata.ResourceVersion == "" {
		var current resource.Resource
		err := c.call(ctx, http.MethodGet, path, nil, &current)
		var problem *problemError
		if err != nil && !(errors.As(err, &problem) && problem.status == http.StatusNotFound) {
			return err
		}
		document.Metadata.ResourceVersion = current.Metadata.ResourceVersion
	}
	body, err := json.Marshal(document)
	if err != nil {
		return err
	}
	var stored resource.Resource
	if err := c.call(ctx, http.MethodPut, path, body, &stored); err != nil {
		return err
	}
	if err := printResources(cmd, []*resource.Resource{&stored}, true); err != nil || !cmd.Bool("watch") {
		return err
	}
	return follow(ctx, cmd, path)
}

func readDocument(path string) ([]byte, error) {
	switch path {
	case "":
		return nil, errors.New("apply: a FILE is needed, - for standard input")
	case "-":
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

func runDelete(ctx context.Context, cmd *cli.Command) error {
	kind, name := cmd.Args().Get(0), cmd.Args().Get(1)
	if kind == "" || name == "" {
		return errors.New("delete: KIND and NAME are needed")
	}
	path := resourcePath(kind, name)
	if v := cmd.String("resource-version"); v != "" {
		path += "?resourceVersion=" + url.QueryEscape(v)
	}
	return newAPIClient(cmd).call(ctx, http.MethodDelete, path, nil, nil)
}

func runWatch(ctx context.Context, cmd *cli.Command) error {
	kind, name := cmd.Args().Get(0), cmd.Args().Get(1)
	if kind == "" || name == "" {
		return errors.New("watch: KIND and NAME are needed")
	}
	return follow(ctx, cmd, resourcePath(kind, name))
}

// follow prints the rollout progress of a resource until it is active on all live instances.
func follow(ctx context.Context, cmd *cli.Command, path string) error {
	resp, err := newAPIClient(cmd).do(ctx, http.MethodGet, path+"/watch", nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	decoder := json.NewDecoder(resp.Body)
	for {
		var p operator.Progress
		if err := decoder.Decode(&p); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if err := printProgress(cmd, &p); err != nil {
			return err
		}
	}
}

func printProgress(cmd *cli.Command, p *operator.Progress) error {
	out := cmd.Root().Writer
	if cmd.String(flagOutput) == "json" {
		return printJSON(out, p)
	}
	var err error
	if p.InForce {
		_, err = fmt.Fprintf(out, "in force on all %d instances\n", p.Instances)
	} else {
		_, err = fmt.Fprintf(out, "not in force on %s\n", strings.Join(p.Lagging, ", "))
	}
	return err
}

// followInterval is the poll interval of timeline --follow. It is short enough to
// follow events as they happen.
const followInterval = 500 * time.Millisecond

func runTimeline(ctx context.Context, cmd *cli.Command) error {
	var since timeline.Stamp
	if d := cmd.Duration("since"); d > 0 {
		since = timeline.StampOf(time.Now().Add(-d))
	}
	for first := true; ; first = false {
		path := "/v1/timeline?since=" + strconv.FormatUint(uint64(since), 10) + "&group=" + url.QueryEscape(cmd.String("group"))
		var result operator.Timeline
		if err := newAPIClient(cmd).call(ctx, http.MethodGet, path, nil, &result); err != nil {
			return err
		}
		if err := printTimeline(cmd, &result, first); err != nil {
			return err
		}
		if n := len(result.Events); n > 0 {
			since = result.Events[n-1].Clock
		}
		if !cmd.Bool("follow") {
			return nil
		}
		select {
		case <-time.After(followInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

func printTimeline(cmd *cli.Command, result *operator.Timeline, first bool) error {
	out := cmd.Root().Writer
	if cmd.String(flagOutput) == "json" {
		return printJSON(out, result)
	}
	if cmd.Bool("failovers") {
		for _, f := range timeline.Failovers(result.Events) {
			fmt.Fprint(out, f.Report())
		}
		return nil
	}
	if first {
		fmt.Fprintf(out, "%-24s %-12s %-12s %-10s %-14s %4s  %s\n", "TIME", "INSTANCE", "GROUP", "MEMBER", "KIND", "TERM", "EVENT")
	}
	for _, e := range result.Events {
		fmt.Fprintf(out, "%-24s %-12s %-12s %-10s %-14s %4d  %s\n",
			e.Clock.Time().Format("2006-01-02T15:04:05.000Z"), e.Instance, e.Group, e.Member, e.Kind, e.Term, e.Text)
	}
	for _, name := range result.Missing {
		fmt.Fprintf(out, "(%s did not answer)\n", name)
	}
	return nil
}

func runExplain(ctx context.Context, cmd *cli.Command) error {
	q := url.Values{}
	q.Set("service", cmd.String("service"))
	q.Set("database", cmd.String("database"))
	q.Set("session", cmd.String("session"))
	q.Set("sql", cmd.Args().First())
	var e operator.Explanation
	if err := newAPIClient(cmd).call(ctx, http.MethodGet, "/v1/explain?"+q.Encode(), nil, &e); err != nil {
		return err
	}
	return printJSON(cmd.Root().Writer, &e)
}

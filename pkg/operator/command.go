package operator

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/configcheck"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/keys"
	"github.com/rhubarbsill/rhubarbsill/pkg/platform"
	"github.com/rhubarbsill/rhubarbsill/pkg/timeline"
)

// Exit codes of the command line.
const (
	ExitOK          = 0
	ExitFailure     = 1 // findings in a document, or any other error
	ExitUsage       = 2
	ExitConflict    = 3
	ExitUnreachable = 4
)

// errFindings reports that the findings of a document were printed already.
var errFindings = errors.New("the document has findings")

// usageError is an invalid use of the command line.
type usageError struct{ error }

// cli is the command line with its streams and global flags.
type cli struct {
	out, errOut io.Writer
	output      string // text or json
	platformURL string
	hosted      configcheck.Format // nil if the program knows no host platform
}

// Main runs the command line and returns its exit code. hosted is the format of a host platform's
// configuration, nil if there is none.
func Main(ctx context.Context, args []string, out, errOut io.Writer, hosted configcheck.Format) int {
	c := &cli{out: out, errOut: errOut, hosted: hosted}
	root := c.command()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err != nil && !errors.Is(err, errFindings) {
		fmt.Fprintf(errOut, "rhubarbsill: %v\n", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var conflict *ConflictError
	var trialConflict *TrialConflictError
	var usage usageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &conflict), errors.As(err, &trialConflict), errors.Is(err, errConcurrentTrial):
		return ExitConflict
	case errors.As(err, &usage), strings.HasPrefix(err.Error(), "unknown command"):
		return ExitUsage
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrOutcomeUnknown), errors.Is(err, errUnreachable),
		errors.Is(err, configcheck.ErrUnreachable):
		return ExitUnreachable
	default:
		return ExitFailure
	}
}

func (c *cli) command() *cobra.Command {
	root := &cobra.Command{
		Use:           "rhubarbsill",
		Short:         "Check, try and promote configurations, and read what the fleet reports",
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if c.output != "text" && c.output != "json" {
				return usageError{fmt.Errorf("--output is %q, want text or json", c.output)}
			}
			return nil
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	flags := root.PersistentFlags()
	flags.StringVar(&c.output, "output", "text", "text or json")
	flags.StringVar(&c.platformURL, "platform", os.Getenv("RHUBARBSILL_PLATFORM"), "base URL of the platform (default $RHUBARBSILL_PLATFORM)")
	_ = root.RegisterFlagCompletionFunc("output", fixedCompletions("text", "json")) // the flag exists
	root.AddCommand(c.configCommand(), c.keyCommand(), c.statusCommand(), c.timelineCommand(), c.versionCommand())
	return root
}

func fixedCompletions(list ...string) cobra.CompletionFunc {
	return cobra.FixedCompletions(list, cobra.ShellCompDirectiveNoFileComp)
}

func exactArgs(n int) cobra.PositionalArgs { return rangeArgs(n, n) }

func rangeArgs(minArgs, maxArgs int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) < minArgs || len(args) > maxArgs {
			return usageError{fmt.Errorf("got %d arguments, want %s", len(args), cmd.UseLine())}
		}
		return nil
	}
}

func parseVersion(text string) (core.Version, error) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return 0, usageError{fmt.Errorf("%q is not a version", text)}
	}
	return core.Version(version), nil
}

func (c *cli) store() (platform.Client, error) {
	if c.platformURL == "" {
		return nil, usageError{errors.New("--platform or $RHUBARBSILL_PLATFORM must be set")}
	}
	return platform.NewHTTP(c.platformURL, platform.Options{}), nil
}

func (c *cli) operator() (*Operator, error) {
	store, err := c.store()
	if err != nil {
		return nil, err
	}
	return New(store), nil
}

// print writes a result as JSON, or formatted as text.
func (c *cli) print(result any, format string, values ...any) error {
	if c.output == "json" {
		return json.NewEncoder(c.out).Encode(result)
	}
	_, err := fmt.Fprintf(c.out, format, values...)
	return err
}

func (c *cli) configCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "config",
		Short:   "Work on the configuration of an environment",
		Example: "  rhubarbsill config check production.jsonc",
	}
	command.AddCommand(
		c.checkCommand(),
		&cobra.Command{
			Use:     "trial FILE",
			Short:   "Put a document in trial, which takes no production traffic",
			Example: "  rhubarbsill config trial production.jsonc --platform http://10.0.0.5:8080",
			Args:    exactArgs(1),
			RunE:    func(cmd *cobra.Command, args []string) error { return c.trial(cmd.Context(), args[0]) },
		},
		&cobra.Command{
			Use:     "promote [VERSION]",
			Short:   "Promote the document in trial to production; with VERSION only that one",
			Example: "  rhubarbsill config promote 42",
			Args:    rangeArgs(0, 1),
			RunE:    func(cmd *cobra.Command, args []string) error { return c.promote(cmd.Context(), args) },
		},
		&cobra.Command{
			Use:     "diff FILE",
			Short:   "Show what a document changes in production, without secrets",
			Example: "  rhubarbsill config diff production.jsonc",
			Args:    exactArgs(1),
			RunE:    func(cmd *cobra.Command, args []string) error { return c.diff(cmd.Context(), args[0]) },
		},
		&cobra.Command{
			Use:     "rollback VERSION",
			Short:   "Put the document of an earlier promotion in trial; revoked keys stay revoked",
			Example: "  rhubarbsill config rollback 41 && rhubarbsill config promote",
			Args:    exactArgs(1),
			RunE:    func(cmd *cobra.Command, args []string) error { return c.rollback(cmd.Context(), args[0]) },
		},
		c.showCommand(),
		c.historyCommand(),
	)
	return command
}

// readDocument parses a file. It prints all findings and returns errFindings if there
// are any.
func (c *cli) readDocument(file string) (*config.Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, usageError{err}
	}
	doc, findings := config.Parse(file, text)
	if len(findings) == 0 {
		return doc, nil
	}
	if c.output == "json" {
		err = json.NewEncoder(c.out).Encode(findings)
	} else {
		for _, finding := range findings {
			fmt.Fprintln(c.out, finding)
		}
		fmt.Fprintf(c.out, "%d findings\n", len(findings))
	}
	return nil, errors.Join(err, errFindings)
}

func (c *cli) trial(ctx context.Context, file string) error {
	doc, err := c.readDocument(file)
	if err != nil {
		return err
	}
	op, err := c.operator()
	if err != nil {
		return err
	}
	result, err := op.StageTrial(ctx, doc)
	if err != nil {
		return err
	}
	return c.printTrial(result)
}

func (c *cli) printTrial(result Result) error {
	return c.print(result, "version %d is in trial, on top of production version %d: %d pieces, %d bytes written\n",
		result.Version, result.BaseVersion, result.Pieces, result.Bytes)
}

func (c *cli) diff(ctx context.Context, file string) error {
	doc, err := c.readDocument(file)
	if err != nil {
		return err
	}
	op, err := c.operator()
	if err != nil {
		return err
	}
	current, version, err := op.Document(ctx, Production)
	if err != nil {
		return err
	}
	changes := Diff(current, doc)
	if c.output == "json" {
		return json.NewEncoder(c.out).Encode(changes)
	}
	for _, change := range changes {
		fmt.Fprintln(c.out, change)
	}
	_, err = fmt.Fprintf(c.out, "%d changes to production version %d\n", len(changes), version)
	return err
}

func (c *cli) rollback(ctx context.Context, text string) error {
	version, err := parseVersion(text)
	if err != nil {
		return err
	}
	op, err := c.operator()
	if err != nil {
		return err
	}
	result, err := op.Rollback(ctx, version)
	if err != nil {
		return err
	}
	if c.output == "text" {
		for _, key := range result.RevokedKeys {
			fmt.Fprintf(c.out, "key %s stays revoked\n", key)
		}
	}
	return c.printTrial(result)
}

func (c *cli) promote(ctx context.Context, args []string) error {
	var version core.Version
	if len(args) == 1 {
		var err error
		if version, err = parseVersion(args[0]); err != nil {
			return err
		}
	}
	op, err := c.operator()
	if err != nil {
		return err
	}
	result, err := op.PromoteVersion(ctx, version)
	if err != nil {
		return err
	}
	if result.ReplacedBy != 0 {
		return c.print(result, "version %d was promoted, and version %d has replaced it since\n", result.Version, result.ReplacedBy)
	}
	return c.print(result, "version %d is in production, it replaces version %d\n", result.Version, result.BaseVersion)
}

func (c *cli) showCommand() *cobra.Command {
	var environment string
	command := &cobra.Command{
		Use:     "show",
		Short:   "Print the document of an environment",
		Example: "  rhubarbsill config show --environment trial",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if environment != Trial && environment != Production {
				return usageError{fmt.Errorf("--environment is %q, want trial or production", environment)}
			}
			op, err := c.operator()
			if err != nil {
				return err
			}
			doc, version, err := op.Document(cmd.Context(), environment)
			if err != nil {
				return err
			}
			if doc == nil {
				return fmt.Errorf("%s has no configuration yet", environment)
			}
			result := versionedDocument{Version: version, Document: doc}
			return c.print(result, "// version %d\n%s\n", version, config.Format(doc))
		},
	}
	command.Flags().StringVar(&environment, "environment", Production, "trial or production")
	_ = command.RegisterFlagCompletionFunc("environment", fixedCompletions(Trial, Production)) // the flag exists
	return command
}

type versionedDocument struct {
	Version  core.Version     `json:"version"`
	Document *config.Document `json:"document"`
}

func (c *cli) historyCommand() *cobra.Command {
	var limit int
	command := &cobra.Command{
		Use:     "history",
		Short:   "List the promotions, the latest first",
		Example: "  rhubarbsill config history --limit 5",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			op, err := c.operator()
			if err != nil {
				return err
			}
			entries, err := op.History(cmd.Context(), limit)
			if err != nil {
				return err
			}
			if c.output == "json" {
				return json.NewEncoder(c.out).Encode(entries)
			}
			for _, entry := range entries {
				fmt.Fprintf(c.out, "%d\t%s\n", entry.Version, entry.RecordedAt.Format(time.RFC3339))
			}
			return nil
		},
	}
	command.Flags().IntVar(&limit, "limit", 20, "largest number of promotions")
	return command
}

func (c *cli) keyCommand() *cobra.Command {
	command := &cobra.Command{Use: "key", Short: "Work on the keys of client accounts", Example: "  rhubarbsill key new taberna-sol k2"}
	command.AddCommand(&cobra.Command{
		Use:     "new ACCOUNT ID",
		Short:   "Make a key: its text for the client, its entry for the document",
		Example: "  rhubarbsill key new taberna-sol k2",
		Args:    exactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			text, entry, err := keys.Generate(rand.Reader, core.AccountID(args[0]), core.KeyID(args[1]))
			if err != nil {
				return usageError{err}
			}
			encoded, err := json.Marshal(entry)
			if err != nil {
				return err
			}
			result := generatedKey{Text: text, Entry: encoded}
			return c.print(result, "key (shown once): %s\nentry: %s\n", text, encoded)
		},
	})
	return command
}

type generatedKey struct {
	Text  string          `json:"key"`
	Entry json.RawMessage `json:"entry"`
}

func (c *cli) statusCommand() *cobra.Command {
	var addrs []string
	command := &cobra.Command{
		Use:   "status",
		Short: "Show every live instance, the version that it has in force, and warnings",
		Example: "  rhubarbsill status --output json\n" +
			"  rhubarbsill status --ask 10.1.0.11:9090,10.1.0.12:9090   # while the platform is down",
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := c.report(cmd.Context(), addrs)
			if err != nil {
				return err
			}
			if c.output == "json" {
				return json.NewEncoder(c.out).Encode(report)
			}
			return report.writeText(c.out)
		},
	}
	command.Flags().StringSliceVar(&addrs, "ask", nil, "status addresses to ask instead of the platform's list")
	return command
}

func (c *cli) report(ctx context.Context, addrs []string) (Report, error) {
	if len(addrs) > 0 {
		return QueryStatus(ctx, addrs)
	}
	op, err := c.operator()
	if err != nil {
		return Report{}, err
	}
	return op.Status(ctx)
}

func (c *cli) timelineCommand() *cobra.Command {
	var request, account, up string
	var since time.Duration
	command := &cobra.Command{
		Use:   "timeline",
		Short: "Show the events of all instances in one order",
		Example: "  rhubarbsill timeline --request 01a23f4e-b945-7824-81ff-fe7668667ab7\n" +
			"  rhubarbsill timeline --account taberna-sol --since 5m",
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			op, err := c.operator()
			if err != nil {
				return err
			}
			events, missing, err := op.Timeline(cmd.Context(), Query{
				Request: request, Account: account, Upstream: up, Since: since,
			})
			if err != nil {
				return err
			}
			for _, id := range missing {
				fmt.Fprintf(c.errOut, "instance %s did not answer: its events are missing\n", id)
			}
			if c.output == "json" {
				return json.NewEncoder(c.out).Encode(slices.Concat([]timeline.Event{}, events))
			}
			return timeline.WriteText(c.out, events)
		},
	}
	flags := command.Flags()
	flags.StringVar(&request, "request", "", "events of this request")
	flags.StringVar(&account, "account", "", "events of this account")
	flags.StringVar(&up, "upstream", "", "events of this upstream")
	flags.DurationVar(&since, "since", 0, "events of this last period, 0 for all that are kept")
	return command
}

func (c *cli) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version of this program",
		Example: "  rhubarbsill version --output json",
		Args:    exactArgs(0),
		RunE: func(*cobra.Command, []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return errors.New("the program has no build information")
			}
			result := map[string]string{"version": info.Main.Version, "go": info.GoVersion}
			return c.print(result, "rhubarbsill %s (%s)\n", info.Main.Version, info.GoVersion)
		},
	}
}

package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/configcheck"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// inForceTimeout bounds the read of the configuration in force. A document of 27,000 accounts takes
// about 2,400 reads.
const inForceTimeout = 30 * time.Second

// productFormat is the format of the product's documents.
type productFormat struct{ c *cli }

// Recognises implements configcheck.Format.
func (productFormat) Recognises(fields []string) bool {
	return slices.ContainsFunc(fields, func(name string) bool {
		return slices.Contains([]string{"environment", "store_region", "data_centres", "accounts"}, name)
	})
}

// Check implements configcheck.Format.
func (productFormat) Check(file string, content []byte, o configcheck.Options) *configcheck.Report {
	return configcheck.CheckDocument(file, content, o)
}

// ReadInForce reads the document of production.
func (f productFormat) ReadInForce(ctx context.Context, _ string) (configcheck.InForce, error) {
	op, err := f.c.operator()
	if err != nil {
		return configcheck.InForce{}, err
	}
	doc, version, err := op.Document(ctx, Production)
	if err != nil {
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", configcheck.ErrUnreachable, err)
		}
		return configcheck.InForce{}, err
	}
	inForce := configcheck.InForce{Name: fmt.Sprintf("production version %d", version)}
	if doc != nil {
		inForce.Content = config.Format(doc)
	}
	return inForce, nil
}

// checkFlags are the flags of config check.
type checkFlags struct {
	against      string
	inForce      bool
	format       string
	memoryMB     int64
	engineTokens int64
	dataCentres  map[string]string
	strict       bool
	json         bool
}

func (c *cli) checkCommand() *cobra.Command {
	var f checkFlags
	command := &cobra.Command{
		Use:   "check FILE",
		Short: "Report every finding of a configuration with its place",
		Example: "  rhubarbsill config check production.jsonc\n" +
			"  rhubarbsill config check production.jsonc --in-force --strict --platform http://10.0.0.5:8080\n" +
			"  rhubarbsill config check new.json --against old.json --format platform --memory-mb 112 --json",
		Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if f.json {
				c.output = "json"
			}
			return c.check(cmd.Context(), args[0], f)
		},
	}
	flags := command.Flags()
	flags.StringVar(&f.against, "against", "", "file of the configuration to compare with")
	flags.BoolVar(&f.inForce, "in-force", false, "compare with the configuration in force, read from the platform")
	flags.StringVar(&f.format, "format", "", "platform or product; recognised by its fields if not given")
	flags.Int64Var(&f.memoryMB, "memory-mb", 0, "memory of the smallest machine in MB")
	flags.Int64Var(&f.engineTokens, "engine-tokens", 0, "tokens per second, prompt and output, that one engine serves")
	flags.StringToStringVar(&f.dataCentres, "data-centres", nil, "regions of the data centres, as NAME=REGION,...; for the format platform")
	flags.BoolVar(&f.strict, "strict", false, "exit with 1 for warnings too")
	flags.BoolVar(&f.json, "json", false, "same as --output json")
	_ = command.RegisterFlagCompletionFunc("format", fixedCompletions("platform", "product")) // the flag exists
	return command
}

func (f checkFlags) validate(c *cli) error {
	switch {
	case f.against != "" && f.inForce:
		return usageError{errors.New("--against and --in-force exclude each other")}
	case f.memoryMB < 0 || f.engineTokens < 0:
		return usageError{errors.New("--memory-mb and --engine-tokens must not be below 0")}
	case !slices.Contains([]string{"", "platform", "product"}, f.format):
		return usageError{fmt.Errorf("--format is %q, want platform or product", f.format)}
	case f.format == "platform" && c.hosted == nil:
		return usageError{errors.New("this program has no platform format")}
	case f.inForce && c.platformURL == "":
		return usageError{errors.New("--in-force needs --platform or $RHUBARBSILL_PLATFORM")}
	}
	return nil
}

func (f checkFlags) options() configcheck.Options {
	o := configcheck.Options{MemoryBytes: f.memoryMB << 20, EngineTokens: f.engineTokens, DataCentres: map[core.DataCentreName]core.RegionName{}}
	for name, region := range f.dataCentres {
		o.DataCentres[core.DataCentreName(name)] = core.RegionName(region)
	}
	return o
}

// formatOf returns the format that the flags name, or else the one of the text. A text that is not
// recognised counts as a document of the product.
func (c *cli) formatOf(f checkFlags, content []byte) configcheck.Format {
	product := productFormat{c}
	switch f.format {
	case "platform":
		return c.hosted
	case "product":
		return product
	}
	fields := configcheck.TopLevel(content)
	if c.hosted != nil && c.hosted.Recognises(fields) && !product.Recognises(fields) {
		return c.hosted
	}
	return product
}

func (c *cli) check(ctx context.Context, file string, f checkFlags) error {
	if err := f.validate(c); err != nil {
		return err
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return usageError{err}
	}
	format := c.formatOf(f, content)
	options := f.options()
	var earlier configcheck.InForce
	var compareErr error // printed after the check of the file alone
	switch {
	case f.inForce:
		readCtx, cancel := context.WithTimeout(ctx, inForceTimeout)
		earlier, compareErr = format.ReadInForce(readCtx, c.platformURL)
		cancel()
		options.Upstreams = earlier.Upstreams
	case f.against != "":
		earlier.Name = f.against
		if earlier.Content, err = os.ReadFile(f.against); err != nil {
			return usageError{err}
		}
	}
	report := format.Check(file, content, options)
	findings := report.Findings
	if earlier.Content != nil {
		before := format.Check(earlier.Name, earlier.Content, configcheck.Options{})
		if before.HasErrors() {
			compareErr = fmt.Errorf("%s does not load, so nothing is compared with it: %s", earlier.Name, before.Findings[0])
		}
		findings = append(findings, configcheck.Compare(before, report)...)
		configcheck.Sort(findings)
	}
	if err := c.printFindings(file, earlier.Name, report, findings); err != nil {
		return err
	}
	errorCount, warnings := configcheck.Count(findings, configcheck.SeverityError), configcheck.Count(findings, configcheck.SeverityWarning)
	if compareErr != nil {
		return compareErr
	}
	if errorCount > 0 || f.strict && warnings > 0 {
		return errFindings
	}
	return nil
}

func (c *cli) printFindings(file, earlier string, report *configcheck.Report, findings []configcheck.Finding) error {
	if c.output == "json" {
		return json.NewEncoder(c.out).Encode(append([]configcheck.Finding{}, findings...)) // [] and not null without findings
	}
	for _, finding := range findings {
		fmt.Fprintln(c.out, finding)
	}
	var err error
	warnings, notes := configcheck.Count(findings, configcheck.SeverityWarning), configcheck.Count(findings, configcheck.SeverityNote)
	switch {
	case report.HasErrors():
		_, err = fmt.Fprintf(c.out, "%d findings\n", len(findings))
	case len(findings) == 0:
		_, err = fmt.Fprintf(c.out, "%s: no findings, %d services, %d accounts\n", file, report.Services, report.Accounts)
	case earlier != "":
		_, err = fmt.Fprintf(c.out, "%s: %d warnings, %d differences from %s, %d services, %d accounts\n", file, warnings, notes, earlier, report.Services, report.Accounts)
	default:
		_, err = fmt.Fprintf(c.out, "%s: %d warnings, %d services, %d accounts\n", file, warnings, report.Services, report.Accounts)
	}
	return err
}

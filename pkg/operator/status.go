package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/keys"
	"github.com/rhubarbsill/rhubarbsill/pkg/platform"
	"github.com/rhubarbsill/rhubarbsill/pkg/server"
	"github.com/rhubarbsill/rhubarbsill/pkg/timeline"
)

// errUnreachable says that no Instance could be asked.
var errUnreachable = errors.New("no instance could be reached")

// instanceQueryTimeout bounds the question to one Instance, maxConcurrentQueries the questions at a
// time.
const (
	instanceQueryTimeout = 3 * time.Second
	maxConcurrentQueries = 32
)

// Report is the state of the fleet.
type Report struct {
	// Production is the promoted version.
	Production core.Version `json:"production_version"`
	// Versions lists for each version the live Instances that have it in force.
	Versions  []VersionReport  `json:"versions"`
	Instances []InstanceReport `json:"instances"`
	// Warnings are sentences about Instances that need attention.
	Warnings []string `json:"warnings"`
}

// VersionReport names the Instances that have a version in force.
type VersionReport struct {
	Version   core.Version `json:"version"`
	Instances []string     `json:"instances"`
}

// InstanceReport is the state of one listed Instance.
type InstanceReport struct {
	ID         string                 `json:"id"`
	DataCentre string                 `json:"data_centre"`
	State      platform.InstanceState `json:"state"`
	// Status is nil when the Instance did not answer.
	Status *server.Status `json:"status,omitempty"`
}

// Status asks every listed Instance for its status.
func (o *Operator) Status(ctx context.Context) (Report, error) {
	production, err := o.readRoot(ctx, Production)
	if err != nil {
		return Report{}, err
	}
	report := Report{Production: production.root.Version}
	listed, addrs, err := o.listInstances(ctx)
	if err != nil {
		return Report{}, err
	}
	report.Instances = make([]InstanceReport, len(listed))
	forEachConcurrent(len(listed), func(i int) {
		entry := InstanceReport{ID: listed[i].ID, DataCentre: listed[i].DataCentre, State: listed[i].State}
		var status server.Status
		if queryInstance(ctx, addrs[listed[i].ID], "/status", nil, &status) == nil {
			entry.Status = &status
		}
		report.Instances[i] = entry
	})
	report.summarize()
	return report, nil
}

// QueryStatus asks Instances by their status addresses, without the platform, which
// may be down. The production version is the highest that one of them knows of.
func QueryStatus(ctx context.Context, addrs []string) (Report, error) {
	report := Report{Instances: make([]InstanceReport, len(addrs))}
	forEachConcurrent(len(addrs), func(i int) {
		entry := InstanceReport{ID: addrs[i], State: stateUnknown}
		var status server.Status
		if queryInstance(ctx, addrs[i], "/status", nil, &status) == nil {
			entry.ID = string(status.Instance.ID)
			entry.Status = &status
		}
		report.Instances[i] = entry
	})
	answered := false
	for _, instance := range report.Instances {
		if instance.Status != nil {
			answered = true
			report.Production = max(report.Production, instance.Status.LatestKnownVersion)
		}
	}
	if !answered {
		return Report{}, errUnreachable
	}
	report.summarize()
	return report, nil
}

// stateUnknown stands for the state in a list that was not read.
const stateUnknown = platform.InstanceState("-")

func (r *Report) summarize() {
	r.Versions = groupByVersion(r.Instances)
	r.Warnings = []string{}
	for _, instance := range r.Instances {
		for _, text := range instance.warnings(r.Production) {
			r.Warnings = append(r.Warnings, instance.ID+" "+text)
		}
	}
}

// warnings says what is wrong with an Instance.
func (i InstanceReport) warnings(production core.Version) []string {
	if i.Status == nil {
		return []string{"is silent: it did not answer"}
	}
	var list []string
	add := func(holds bool, format string, values ...any) {
		if holds {
			list = append(list, fmt.Sprintf(format, values...))
		}
	}
	s := i.Status
	add(s.Version < production, "is behind: version %d is in force, production is %d", s.Version, production)
	add(s.StopReason != "", "is stopped, it refuses all requests: %s", s.StopReason)
	add(s.Leaving || i.State == platform.InstanceLeaving, "is leaving, %d requests running", s.Requests)
	add(s.KeyMode != string(keys.Fresh), "has no fresh confirmation of the configuration: mode %s for %d s", s.KeyMode, s.ConfirmedMS/1000)
	add(!s.RosterSettled, "has a roster that is not settled: epoch %d", s.Epoch)
	add(len(s.FailingUpstreams) > 0, "gets no load report from %v", s.FailingUpstreams)
	return list
}

func groupByVersion(instances []InstanceReport) []VersionReport {
	var versions []VersionReport
	for _, instance := range instances {
		if instance.Status == nil {
			continue
		}
		version := instance.Status.Version
		i, found := slices.BinarySearchFunc(versions, version, func(v VersionReport, want core.Version) int {
			return int(int64(v.Version) - int64(want))
		})
		if !found {
			versions = slices.Insert(versions, i, VersionReport{Version: version})
		}
		versions[i].Instances = append(versions[i].Instances, instance.ID)
	}
	return versions
}

// listInstances returns the platform's list and the status addresses that the
// Instances have published.
func (o *Operator) listInstances(ctx context.Context) ([]platform.Instance, map[string]string, error) {
	listed, err := o.store.Instances(ctx)
	if err != nil {
		return nil, nil, err
	}
	addrs := make([]string, len(listed))
	forEachConcurrent(len(listed), func(i int) {
		object, err := o.store.Get(ctx, server.StatusObjectName(core.InstanceID(listed[i].ID)))
		if err != nil {
			return
		}
		var published server.InstanceStatus
		if json.Unmarshal(object.Value, &published) == nil {
			addrs[i] = published.StatusAddr
		}
	})
	byID := map[string]string{}
	for i, instance := range listed {
		byID[instance.ID] = addrs[i]
	}
	return listed, byID, nil
}

func forEachConcurrent(n int, work func(int)) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
	for i := range n {
		slots <- struct{}{}
		wait.Go(func() {
			work(i)
			<-slots
		})
	}
	wait.Wait()
}

func queryInstance(ctx context.Context, addr, path string, query url.Values, answer any) error {
	if addr == "" {
		return errUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, instanceQueryTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: addr, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", target.String(), response.Status)
	}
	return json.NewDecoder(response.Body).Decode(answer)
}

func (r Report) writeText(out io.Writer) error {
	fmt.Fprintf(out, "production version %d\n", r.Production)
	for _, version := range r.Versions {
		fmt.Fprintf(out, "version %d in force on %d instances: %s\n", version.Version, len(version.Instances), strings.Join(version.Instances, " "))
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tDATA CENTRE\tLIST\tVERSION\tKEYS\tROSTER\tREQUESTS\tQUEUED\tPEER B/S\tHEAP MB\tCPU S\tCPU %")
	for _, instance := range r.Instances {
		if instance.Status == nil {
			fmt.Fprintf(table, "%s\t%s\t%s\tno answer\t\t\t\t\t\t\t\t\n", instance.ID, instance.DataCentre, instance.State)
			continue
		}
		s := instance.Status
		roster := fmt.Sprint(s.Epoch)
		if !s.RosterSettled {
			roster += " unsettled"
		}
		queued := 0
		for _, n := range s.Queued {
			queued += n
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\n",
			instance.ID, instance.DataCentre, instance.State, s.Version, s.KeyMode, roster, s.Requests, queued,
			s.PeerBytesPerSecond, float64(s.HeapBytes)/(1<<20), s.CPUSeconds, 100*s.CPUShare)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, warning := range r.Warnings {
		fmt.Fprintf(out, "WARNING %s\n", warning)
	}
	return nil
}

// Query selects events of the timeline. Empty fields match everything.
type Query struct {
	Request, Account, Upstream string
	Since                      time.Duration
}

// Timeline returns the matching events of all Instances in one order, and the
// Instances that did not answer.
func (o *Operator) Timeline(ctx context.Context, q Query) ([]timeline.Event, []string, error) {
	listed, addrs, err := o.listInstances(ctx)
	if err != nil {
		return nil, nil, err
	}
	query := url.Values{"request": {q.Request}, "account": {q.Account}, "upstream": {q.Upstream}}
	if q.Since > 0 {
		query.Set("since", o.now().Add(-q.Since).UTC().Format(time.RFC3339Nano))
	}
	lists := make([][]timeline.Event, len(listed))
	failed := make([]bool, len(listed))
	forEachConcurrent(len(listed), func(i int) {
		failed[i] = queryInstance(ctx, addrs[listed[i].ID], "/timeline", query, &lists[i]) != nil
	})
	var missing []string
	for i, instance := range listed {
		if failed[i] {
			missing = append(missing, instance.ID)
		}
	}
	if len(listed) > 0 && len(missing) == len(listed) {
		return nil, missing, errUnreachable
	}
	return timeline.Merge(lists), missing, nil
}

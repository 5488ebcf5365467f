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
	"github.com/rhubarbsill/rhubarbsill/pkg/httphead"
	"github.com/rhubarbsill/rhubarbsill/pkg/keys"
	"github.com/rhubarbsill/rhubarbsill/pkg/platform"
	"github.com/rhubarbsill/rhubarbsill/pkg/server"
	"github.com/rhubarbsill/rhubarbsill/pkg/timeline"
)

// errUnreachable reports that no Instance could be queried, or that one has no known
// status address.
var errUnreachable = errors.New("no instance could be reached")

// Limits of the queries to Instances.
const (
	instanceQueryTimeout = 3 * time.Second
	maxConcurrentQueries = 32
)

// Report is the state of the fleet.
type Report struct {
	// Production is the promoted version.
	Production core.Version `json:"production_version"`
	// Versions lists the responding Instances by active version, in rising order.
	Versions  []VersionReport  `json:"versions"`
	Instances []InstanceReport `json:"instances"`
	// Warnings describe the Instances that need attention, one sentence each.
	Warnings []string `json:"warnings"`
}

// VersionReport names the Instances on which a version is active.
type VersionReport struct {
	Version   core.Version `json:"version"`
	Instances []string     `json:"instances"`
}

// InstanceReport is the state of one Instance.
type InstanceReport struct {
	ID         string                 `json:"id"`
	DataCentre string                 `json:"data_centre"`
	State      platform.InstanceState `json:"state"`
	// Status is nil when the Instance did not respond.
	Status *server.Status `json:"status,omitempty"`
}

// Status queries the status of every listed Instance.
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

// QueryStatus queries Instances by their status addresses, without the platform, which
// may be unavailable. The production version is the highest that any of them knows. It
// returns an error if no Instance responds.
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
	reached := false
	for _, instance := range report.Instances {
		if instance.Status != nil {
			reached = true
			report.Production = max(report.Production, instance.Status.LatestKnownVersion)
		}
	}
	if !reached {
		return Report{}, errUnreachable
	}
	report.summarize()
	return report, nil
}

// stateUnknown is the listed state of an Instance when the platform's list was not
// read.
const stateUnknown = platform.InstanceState("-")

// summarize derives the versions and warnings from the Instances.
func (r *Report) summarize() {
	r.Versions = groupByVersion(r.Instances)
	r.Warnings = []string{}
	for _, instance := range r.Instances {
		for _, text := range instance.warnings(r.Production) {
			r.Warnings = append(r.Warnings, instance.ID+" "+text)
		}
	}
}

// warnings describes the problems of an Instance, none for a healthy one.
func (i InstanceReport) warnings(production core.Version) []string {
	if i.Status == nil {
		return []string{"is silent: it did not answer"}
	}
	var list []string
	addIf := func(condition bool, format string, values ...any) {
		if condition {
			list = append(list, fmt.Sprintf(format, values...))
		}
	}
	s := i.Status
	addIf(s.Version < production, "is behind: version %d is in force, production is %d", s.Version, production)
	addIf(s.StopReason != "", "is stopped, it refuses all requests: %s", s.StopReason)
	addIf(s.Leaving || i.State == platform.InstanceLeaving, "is leaving, %d requests running", s.Requests)
	addIf(s.KeyMode != string(keys.Fresh), "has no fresh confirmation of the configuration: mode %s for %d s", s.KeyMode, s.ConfirmedMS/1000)
	addIf(!s.RosterSettled, "has a roster that is not settled: epoch %d", s.Epoch)
	addIf(len(s.FailingUpstreams) > 0, "gets no load report from %v", s.FailingUpstreams)
	return list
}

// groupByVersion groups the responding Instances by active version.
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

// listInstances returns the platform's list, and by ID the status addresses that the
// Instances have published; the address is empty where it can't be read.
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

// forEachConcurrent calls work with 0 to n-1, at most maxConcurrentQueries at the same
// time, and returns when all calls have.
func forEachConcurrent(n int, work func(int)) {
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentQueries)
	for i := range n {
		semaphore <- struct{}{}
		wg.Go(func() {
			work(i)
			<-semaphore
		})
	}
	wg.Wait()
}

// queryInstance decodes the JSON response of an Instance's status address into result.
func queryInstance(ctx context.Context, addr, path string, query url.Values, result any) error {
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
	response, err := httphead.Client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", target.String(), response.Status)
	}
	return json.NewDecoder(response.Body).Decode(result)
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

// Query selects events of the timeline. Empty fields match every event.
type Query struct {
	Request, Account, Upstream string
	Since                      time.Duration
}

// Timeline returns the matching events of all Instances merged in one order, and the
// IDs of the Instances that did not respond.
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

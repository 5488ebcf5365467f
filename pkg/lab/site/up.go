package site

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/httphead"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/engine"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/objectstore"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/plain"
	"github.com/rhubarbsill/rhubarbsill/pkg/operator"
	"github.com/rhubarbsill/rhubarbsill/pkg/platform"
	"github.com/rhubarbsill/rhubarbsill/pkg/server"
)

// Options are the sizes of a Site. Zero values select the defaults.
type Options struct {
	Instances int // default 3
	Prefill   int // default 2
	Decode    int // default 2
	Plain     int // default 1
	// Engine applies to every engine; Start sets its role.
	Engine engine.Options
	// LargeRate and SmallRate are the rates of the accounts "large" and "small" in
	// tokens per second, by default 20,000 and 200. Their bursts are five seconds of
	// the rate.
	LargeRate, SmallRate int64
	Log                  *zap.Logger
}

// Site is a complete test site in one process on loopback.
type Site struct {
	PlatformURL string
	Platform    *objectstore.Server
	Prefill     []*engine.Server
	Decode      []*engine.Server
	Plain       []*plain.Server
	Instances   []*Instance
	Document    *config.Document
	Large       Account
	Small       Account

	closers []func()
	log     *zap.Logger
}

// Instance is a running entry Instance of a Site.
type Instance struct {
	server.ListenAddresses
	stop    context.CancelFunc
	stopped chan struct{}
	err     error
}

// Shutdown stops the Instance gracefully. It returns the error of its run, after the
// run has ended.
func (i *Instance) Shutdown() error {
	i.stop()
	<-i.stopped
	return i.err
}

// Start starts the fakes, promotes a configuration, starts the Instances and waits
// until they are ready. The caller must call Close.
func Start(ctx context.Context, opts Options) (*Site, error) {
	opts = opts.withDefaults()
	s := &Site{log: opts.Log}
	if err := s.start(ctx, opts); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (o Options) withDefaults() Options {
	setDefault(&o.Instances, 3)
	setDefault(&o.Prefill, 2)
	setDefault(&o.Decode, 2)
	setDefault(&o.Plain, 1)
	setDefault(&o.LargeRate, 20_000)
	setDefault(&o.SmallRate, 200)
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (s *Site) start(ctx context.Context, opts Options) error {
	s.Platform = objectstore.New(objectstore.Options{Seed: 1})
	url, err := s.serve(&http.Server{Handler: s.Platform, ReadHeaderTimeout: 5 * time.Second})
	if err != nil {
		return err
	}
	s.PlatformURL = url
	if err := s.startUpstreams(opts); err != nil {
		return err
	}
	if err := s.Promote(ctx); err != nil {
		return err
	}
	for n := range opts.Instances {
		if _, err := s.StartInstance(ctx, fmt.Sprintf("entry-%d", n+1)); err != nil {
			return err
		}
	}
	return s.WaitReady(ctx)
}

// httpService is implemented by the fakes and by http.Server.
type httpService interface {
	Serve(net.Listener) error
	Close() error
}

// serve serves on a free loopback port until Close, and returns the base URL.
func (s *Site) serve(service httpService) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = service.Serve(listener) }()
	s.closers = append(s.closers, func() { _ = service.Close() })
	return "http://" + listener.Addr().String(), nil
}

func (s *Site) startUpstreams(opts Options) error {
	var up Upstreams
	for range opts.Prefill {
		fake := opts.Engine
		fake.Role = engine.Prefill
		s.Prefill = append(s.Prefill, engine.New(fake))
	}
	for range opts.Decode {
		fake := opts.Engine
		fake.Role = engine.Decode
		s.Decode = append(s.Decode, engine.New(fake))
	}
	for range opts.Plain {
		s.Plain = append(s.Plain, plain.New(plain.Options{}))
	}
	for _, fake := range s.Prefill {
		if err := s.serveUpstream(&up.Prefill, fake); err != nil {
			return err
		}
	}
	for _, fake := range s.Decode {
		if err := s.serveUpstream(&up.Decode, fake); err != nil {
			return err
		}
	}
	for _, fake := range s.Plain {
		if err := s.serveUpstream(&up.Plain, fake); err != nil {
			return err
		}
	}
	return s.buildDocument(up, opts)
}

// serveUpstream serves a fake and appends its base URL to urls.
func (s *Site) serveUpstream(urls *[]string, service httpService) error {
	url, err := s.serve(service)
	*urls = append(*urls, url)
	return err
}

func (s *Site) buildDocument(up Upstreams, opts Options) error {
	const burstSeconds = 5
	large, largeEntry, err := NewAccount("large", opts.LargeRate, opts.LargeRate*burstSeconds)
	if err != nil {
		return err
	}
	small, smallEntry, err := NewAccount("small", opts.SmallRate, opts.SmallRate*burstSeconds)
	if err != nil {
		return err
	}
	s.Large, s.Small = large, small
	s.Document = Document(up, []config.ClientAccount{largeEntry, smallEntry})
	return nil
}

// Promote stages and promotes the present document of the site.
func (s *Site) Promote(ctx context.Context) error {
	op := operator.New(platform.NewHTTP(s.PlatformURL, platform.Options{}))
	if _, err := op.StageTrial(ctx, s.Document); err != nil {
		return fmt.Errorf("try: %w", err)
	}
	if _, err := op.Promote(ctx); err != nil {
		return fmt.Errorf("promote: %w", err)
	}
	return nil
}

// StartInstance starts an Instance and adds it to the platform's list.
func (s *Site) StartInstance(ctx context.Context, id string) (*Instance, error) {
	settings, err := server.ParseSettings(Settings(id, s.PlatformURL, "info"))
	if err != nil {
		return nil, err
	}
	daemon, err := server.New(settings, s.log)
	if err != nil {
		return nil, err
	}
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	instance := &Instance{ListenAddresses: daemon.ListenAddresses(), stop: stop, stopped: make(chan struct{})}
	err = platform.NewRegistrar(s.PlatformURL, platform.Options{}).PutInstance(ctx, platform.Instance{
		ID:         id,
		PeerAddr:   instance.PeerAddr,
		CallerAddr: instance.CallerAddr,
		DataCentre: string(DataCentre),
		State:      platform.InstanceLive,
	})
	if err != nil {
		stop()
		return nil, err
	}
	const drainTimeout = time.Second // test sites don't wait until cached addresses expire
	go func() {
		defer close(instance.stopped)
		instance.err = daemon.Run(runCtx, drainTimeout)
	}()
	s.Instances = append(s.Instances, instance)
	return instance, nil
}

// readyTimeout bounds the wait until a site is ready, and until it accepts a request.
const readyTimeout = 30 * time.Second

// WaitReady waits until every Instance has a configuration and a roster that is settled
// and has all Instances as members.
func (s *Site) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		ready := true
		for _, instance := range s.Instances {
			status, err := instance.Status(ctx)
			ready = ready && err == nil && status.Version > 0 && status.RosterSettled && len(status.Members) == len(s.Instances)
		}
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("the site did not become ready in time")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Status queries the status address of the Instance.
func (i *Instance) Status(ctx context.Context) (server.Status, error) {
	var status server.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.StatusAddr+"/status", nil)
	if err != nil {
		return status, err
	}
	response, err := httphead.Client.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// Close stops the fakes and then the Instances. Requests that still run fail.
func (s *Site) Close() {
	for _, closer := range s.closers {
		closer()
	}
	var wg sync.WaitGroup
	for _, instance := range s.Instances {
		wg.Go(func() { _ = instance.Shutdown() })
	}
	wg.Wait()
}

// UpOptions are the settings of Up.
type UpOptions struct {
	Instances int
	Once      bool // stop after the first request
	Out       io.Writer
}

// Up runs a test site until ctx is cancelled. It sends one request and prints the
// response and a command that sends more.
func Up(ctx context.Context, opts UpOptions) error {
	s, err := Start(ctx, Options{Instances: opts.Instances})
	if err != nil {
		return err
	}
	defer s.Close()
	entry := s.Instances[0]
	body, err := json.Marshal(map[string]any{"model": Model, "prompt": Prompt("menu board", 200), "max_tokens": 16})
	if err != nil {
		return err
	}
	response, err := postUntilAccepted(ctx, "http://"+entry.CallerAddr+"/v1/completions", s.Large.Key, body)
	if err != nil {
		return err
	}
	fmt.Fprintf(opts.Out, "platform %s\n", s.PlatformURL)
	for _, instance := range s.Instances {
		fmt.Fprintf(opts.Out, "instance %s callers %s status http://%s/status\n", instance.Instance, instance.CallerAddr, instance.StatusAddr)
	}
	fmt.Fprintf(opts.Out, "first answer: %s\ntry:\n", bytes.TrimSpace(response))
	fmt.Fprintf(opts.Out, "  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"prompt\":\"Write a slogan for a bakery.\",\"max_tokens\":32,\"stream\":true}'\n",
		entry.CallerAddr, s.Large.Key, Model)
	if opts.Once {
		return nil
	}
	<-ctx.Done()
	return nil
}

// postUntilAccepted retries a request until it succeeds or readyTimeout has passed: the
// token buckets start empty and refuse it at first.
func postUntilAccepted(ctx context.Context, url, key string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		response, err := post(ctx, url, key, body)
		if err == nil || ctx.Err() != nil {
			return response, err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func post(ctx context.Context, url, key string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := httphead.Client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", response.Status, responseBody)
	}
	return responseBody, err
}

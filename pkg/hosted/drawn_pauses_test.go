package hosted

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
)

const (
	drawnCallers = 48
	// drawnTimeout is the time of a request, of which its caller pauses for drawnPauses at most.
	drawnTimeout = 18 * time.Second
	drawnPauses  = 13 * time.Second
)

// drawnCaller is a caller that sends its request and reads its answer with pauses.
type drawnCaller struct {
	path, id   string
	window     int // receive buffer
	bodyBytes  int
	bodyPauses []time.Duration
	readPauses map[int]time.Duration // before the piece with that number is read
}

func drawCaller(rng *rand.Rand, number int) drawnCaller {
	c := drawnCaller{
		path: []string{"/p/x", "/stream/x", "/resumable/x"}[rng.IntN(3)], id: fmt.Sprintf("drawn-%d", number),
		window: 4 << 10 << rng.IntN(5), bodyBytes: rng.IntN(20_000), readPauses: map[int]time.Duration{},
	}
	left := drawnPauses
	draw := func() time.Duration {
		pause := time.Duration(rng.Int64N(int64(left)))
		left -= pause
		return pause
	}
	for range rng.IntN(3) {
		c.readPauses[rng.IntN(answerPieces)] = draw()
	}
	c.readPauses[0] += draw()
	for range rng.IntN(2) {
		c.bodyPauses = append(c.bodyPauses, draw())
	}
	return c
}

// call sends the request and returns what is wrong with the answer.
func (c drawnCaller) call(addr string) error {
	conn, err := dialWithWindow(addr, c.window)
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		c.path, c.id, drawnTimeout.Milliseconds(), c.bodyBytes); err != nil {
		return err
	}
	body := make([]byte, c.bodyBytes)
	for i, pause := range c.bodyPauses {
		part := c.bodyBytes / (len(c.bodyPauses) + 1)
		if _, err := conn.Write(body[i*part : (i+1)*part]); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	rest := c.bodyBytes
	if n := len(c.bodyPauses); n > 0 {
		rest -= n * (c.bodyBytes / (n + 1))
	}
	if _, err := conn.Write(body[:rest]); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, 4<<10), nil)
	if err != nil {
		return err
	}
	for piece := range answerPieces {
		time.Sleep(c.readPauses[piece])
		got := make([]byte, pieceBytes)
		if _, err := io.ReadFull(response.Body, got); err != nil {
			return fmt.Errorf("status %d, piece %d: %w", response.StatusCode, piece, err)
		}
		if want := fmt.Sprintf("id: %d\n", piece+1); !strings.HasPrefix(string(got), want) {
			return fmt.Errorf("piece %d begins with %.20q", piece, got)
		}
	}
	if _, err := response.Body.Read(make([]byte, 1)); err != io.EOF {
		return fmt.Errorf("after the last piece: %w", err)
	}
	return nil
}

// Guards against an answer that is lost, or an engine that is blamed, for pauses of callers at any points of
// their requests and answers. SOAK_SEED draws other callers.
func TestDrawnPausesOfCallersLoseNothing(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	l := startLongAnswers(t, func(route *config.HostRoute) {
		if !route.Streaming || route.Resumable {
			route.RetrySafety, route.MaxUpstreams = config.RetrySafe, 2
		}
		if !route.Streaming {
			route.LatencyTarget = drawnTimeout // a whole answer is late when its body was sent slowly
		}
	}, func(*Settings) {})
	var callers sync.WaitGroup
	for number := range drawnCallers {
		c := drawCaller(rng, number)
		callers.Go(func() {
			if err := c.call(l.settings.CallerAddr); err != nil {
				t.Errorf("seed %d, %+v: %v", seed, c, err)
			}
			if runs := l.runsOf(c.id); runs != 1 {
				t.Errorf("seed %d, %s has run %d times", seed, c.id, runs)
			}
		})
	}
	callers.Wait()
	is := is.New(t)
	is.Equal(l.logs.FilterMessage("dispatch: stalled").Len(), 0)
	is.Equal(l.logs.FilterMessage("dispatch: failed").Len(), 0)
}

package simulation

import (
	"bufio"
	"fmt"
	"io"
	"os/exec"
	"strings"
	"sync"
	"time"

	"piernotch"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/wire"
)

// Child hosts the instances in another program, over its standard input and output,
// as the simulator's wire words it: another version of the module, built elsewhere.
type Child struct {
	cmd     *exec.Cmd
	name    string
	in      *bufio.Writer
	stdin   io.Closer
	replies chan reply
	ask     chan uint32
	words   *lastWords
	waited  chan error
	seq     uint32
	batch   wire.BatchWriter
	lines   []wire.EndpointEntry
	actions []Action
	day     *scenario.Day
	// Patience is how long the program may take for one batch.
	Patience time.Duration
	dead     bool
}

type reply struct {
	actions []wire.Action
	err     error
}

// DefaultPatience is how long a child may take for one batch.
const DefaultPatience = 30 * time.Second

// lastWords keeps the end of what a program writes to standard error.
type lastWords struct {
	mu   sync.Mutex
	text []byte
}

const mostWords = 4096

func (l *lastWords) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, p...)
	if n := len(l.text) - mostWords; n > 0 {
		l.text = append(l.text[:0], l.text[n:]...)
	}
	return len(p), nil
}

func (l *lastWords) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := strings.TrimSpace(string(l.text))
	if lines := strings.Split(text, "\n"); len(lines) > 8 {
		text = strings.Join(lines[len(lines)-8:], "\n")
	}
	return text
}

// StartChild starts a program for a day.
func StartChild(day *scenario.Day, path string, args ...string) (*Child, error) {
	c := &Child{
		cmd: exec.Command(path, args...), name: path, words: &lastWords{}, replies: make(chan reply), ask: make(chan uint32),
		waited: make(chan error, 1), day: day, Patience: DefaultPatience,
	}
	stdin, err := c.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.cmd.Stderr = c.words
	if err := c.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c.stdin, c.in = stdin, bufio.NewWriterSize(stdin, 1<<16)
	out := bufio.NewReaderSize(stdout, 1<<16)
	ask := c.ask
	go func() { // reads one reply for each batch that is asked for
		for seq := range ask {
			actions, err := wire.ReadReply(out, seq, nil)
			c.replies <- reply{actions, err}
			if err != nil {
				break
			}
		}
		_, _ = io.Copy(io.Discard, out)
		c.waited <- c.cmd.Wait()
	}()
	return c, nil
}

// Close ends the program; one that does not end with its input is killed.
func (c *Child) Close() error {
	if c.ask == nil {
		return nil
	}
	close(c.ask)
	c.ask = nil
	_ = c.stdin.Close()
	if c.dead {
		_ = c.cmd.Process.Kill()
	}
	select {
	case err := <-c.waited:
		if c.dead {
			return nil
		}
		return err
	case <-time.After(5 * time.Second):
		_ = c.cmd.Process.Kill()
		<-c.waited
		return fmt.Errorf("%s did not end with its input", c.name)
	}
}

// broken is the error of a child that is of no more use, with its last lines.
func (c *Child) broken(what string, err error) error {
	c.dead = true
	_ = c.cmd.Process.Kill()
	text := fmt.Sprintf("%s: %s", c.name, what)
	if err != nil {
		text += ": " + err.Error()
	}
	time.Sleep(20 * time.Millisecond) // its last lines may be on their way
	if said := c.words.String(); said != "" {
		text += "; it said last:\n" + said
	}
	return fmt.Errorf("%s", text)
}

// Turn implements Tier.
func (c *Child) Turn(now time.Duration, events []Event) ([]Action, error) {
	for i := range events {
		if err := c.write(&events[i]); err != nil {
			return nil, err
		}
	}
	c.seq++
	deadline := time.NewTimer(c.Patience)
	defer deadline.Stop()
	wrote := make(chan error, 1)
	go func() { // a child that does not read must not hold us up for ever
		err := c.batch.WriteTo(c.in, wire.Milliseconds(now), c.seq)
		if err == nil {
			err = c.in.Flush()
		}
		wrote <- err
	}()
	select {
	case err := <-wrote:
		if err != nil {
			return nil, c.broken("it takes no more input", err)
		}
	case <-deadline.C:
		return nil, c.broken(fmt.Sprintf("it did not read a batch within %v", c.Patience), nil)
	}
	c.ask <- c.seq
	select {
	case r := <-c.replies:
		if r.err != nil {
			return nil, c.broken("no usable reply", r.err)
		}
		return c.translate(r.actions)
	case <-deadline.C:
		err := c.broken(fmt.Sprintf("no reply within %v", c.Patience), nil)
		<-c.replies // the pipe breaks with the process
		return nil, err
	}
}

func (c *Child) write(e *Event) error {
	inst, b := uint32(e.Instance), &c.batch
	load := func() []float32 {
		if !e.HasLoad {
			return nil
		}
		return []float32{float32(e.Load.ErrorsPerSec), float32(e.Load.PerSec), float32(e.Load.Inflight)}
	}
	switch e.Kind {
	case Start:
		r := &c.day.Rules
		x := wire.Extra{
			Number: e.Instance, KeepAliveMS: wire.Milliseconds(r.KeepAlive), DialMS: wire.Milliseconds(r.Dial), SlackMS: wire.Milliseconds(r.Slack),
			GraceMS: wire.Milliseconds(r.Grace), FallMultiple: r.Fall.Multiple, FallMS: wire.Milliseconds(r.Fall.For), WorthBy: "request",
			Columns: []string{"eps", "qps", "inflight"}, MachineTypes: c.day.KindNames(),
		}
		if c.day.Score.ByWork {
			x.WorthBy = "work"
		}
		settings, err := wire.Marshal(e.Settings, x)
		if err != nil {
			return err
		}
		b.Start(inst, e.Seed, settings)
	case Stop:
		b.Stop(inst)
	case Demand:
		flags := uint8(0)
		if e.Request.CostHint > 0 {
			flags |= wire.FlagCostHint
		}
		if e.Retry {
			flags |= wire.FlagRetry
		}
		b.Request(inst, uint64(e.Request.ID), uint8(e.Request.Class), uint16(e.Request.Tenant), e.Request.Key,
			wire.Milliseconds(e.Request.Deadline), e.Request.CostHint, flags)
	case Gone:
		b.ClientGone(inst, uint64(e.ID))
	case Verdict:
		o := &e.Outcome
		b.AttemptCompleted(inst, uint64(o.ID), uint8(o.Attempt), uint32(o.Backend), wire.StatusCode(o.Status), wire.Milliseconds(o.Latency), o.Closed, load()...)
	case Probed:
		b.HealthCheckCompleted(inst, uint32(e.Backend), wire.StatusCode(e.Status), wire.Milliseconds(e.Took), load()...)
	case View:
		c.lines = c.lines[:0]
		for i, en := range e.Entries {
			c.lines = append(c.lines, wire.EndpointEntry{
				Backend: uint32(en.ID), Zone: uint8(en.Zone), Kind: uint8(e.Machines[i]), Cell: uint16(en.Cell),
				State: wire.StateCode(en.State), Size: en.Size, StartedAtMS: wire.Milliseconds(en.StartedAt),
			})
		}
		b.EndpointList(inst, wire.ListKindCode(e.List), e.Version, c.lines)
	case Timer:
		b.TimerFired(inst, e.Token)
	}
	return nil
}

func (c *Child) translate(in []wire.Action) ([]Action, error) {
	c.actions = c.actions[:0]
	for i := range in {
		w := &in[i]
		a := Action{
			Instance: int(w.Instance), ID: piernotch.RequestID(w.ID), Backend: piernotch.BackendID(w.Backend),
			Attempt: int(w.Attempt), Delay: wire.Duration(w.DurationMS), Token: w.Token,
		}
		switch w.Code {
		case wire.ActionStartAttempt:
			a.Kind = Send
		case wire.ActionCancelAttempt:
			a.Kind = Cancel
		case wire.ActionReject:
			a.Kind = Refuse
		case wire.ActionFail:
			a.Kind = Fail
		case wire.ActionHealthCheck:
			a.Kind = Probe
		case wire.ActionSetTimer:
			a.Kind = SetTimer
		case wire.ActionCloseIdle:
			a.Kind = CloseIdle
		case wire.ActionFetchEndpoints:
			a.Kind = Fetch
		case wire.ActionWatchEndpoints:
			a.Kind = Watch
			if !w.On {
				continue
			}
		case wire.ActionReportFault:
			return nil, c.broken(fmt.Sprintf("balancer %d reports a fault: %s", w.Instance, w.Text), nil)
		default: // a line for the log
			continue
		}
		c.actions = append(c.actions, a)
	}
	return c.actions, nil
}

package wire

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"

	"piernotch"
)

// The simulator's end of the wire: batches are written and replies read.

// BatchWriter collects the events of one batch.
type BatchWriter struct {
	count   int
	records []byte
	tail    []byte
	head    [batchHeader]byte
}

func (b *BatchWriter) record(code EventCode, inst uint32) []byte {
	n := len(b.records)
	b.records = append(b.records, make([]byte, eventSize)...)
	rec := b.records[n:]
	rec[0] = byte(code)
	put32(rec[1:], inst)
	b.count++
	return rec
}

// Start begins an instance with settings as JSON.
func (b *BatchWriter) Start(inst uint32, seed uint64, settings []byte) {
	rec := b.record(EventStart, inst)
	put64(rec[5:], seed)
	put32(rec[13:], uint32(len(b.tail)))
	put32(rec[17:], uint32(len(settings)))
	b.tail = append(b.tail, settings...)
}

// Stop ends an instance.
func (b *BatchWriter) Stop(inst uint32) { b.record(EventStop, inst) }

// TimerFired is a timer that is due.
func (b *BatchWriter) TimerFired(inst, token uint32) {
	put32(b.record(EventTimerFired, inst)[5:], token)
}

// ClientGone says that a client left.
func (b *BatchWriter) ClientGone(inst uint32, id uint64) {
	put64(b.record(EventClientGone, inst)[5:], id)
}

// Request is a client's request.
func (b *BatchWriter) Request(inst uint32, id uint64, class uint8, tenant uint16, key uint64, deadlineMS, hintMS float64, flags uint8) {
	rec := b.record(EventRequest, inst)
	put64(rec[5:], id)
	rec[13] = class
	binary.LittleEndian.PutUint16(rec[14:], tenant)
	put64(rec[16:], key)
	putF64(rec[24:], deadlineMS)
	if flags&FlagCostHint != 0 {
		putF64(rec[32:], hintMS)
	}
	rec[40] = flags
}

// AttemptCompleted is the end of an attempt; load is its report, or empty.
func (b *BatchWriter) AttemptCompleted(inst uint32, id uint64, attempt uint8, backend uint32, status uint8, tookMS float64, closed bool, load ...float32) {
	rec := b.record(EventAttemptCompleted, inst)
	put64(rec[5:], id)
	rec[13] = attempt
	put32(rec[14:], backend)
	rec[18] = status
	putF64(rec[19:], tookMS)
	if closed {
		rec[27] = 1
	}
	putLoad(rec[28:], load)
}

// HealthCheckCompleted is the result of a probe.
func (b *BatchWriter) HealthCheckCompleted(inst, backend uint32, status uint8, tookMS float64, load ...float32) {
	rec := b.record(EventHealthCheckCompleted, inst)
	put32(rec[5:], backend)
	rec[9] = status
	putF64(rec[10:], tookMS)
	putLoad(rec[18:], load)
}

func putLoad(p []byte, load []float32) {
	p[0] = byte(len(load))
	for i, v := range load {
		put32(p[1+4*i:], math.Float32bits(v))
	}
}

// EndpointList is a list; scope is 0 failed, 1 cached, 2 full, 3 changes.
func (b *BatchWriter) EndpointList(inst uint32, scope uint8, version uint64, lines []EndpointEntry) {
	rec := b.record(EventEndpointList, inst)
	rec[5] = scope
	put64(rec[6:], version)
	put32(rec[14:], uint32(len(b.tail)))
	put32(rec[18:], uint32(len(lines)))
	for _, l := range lines {
		var p [entrySize]byte
		put32(p[:], l.Backend)
		p[4], p[5], p[8] = l.Zone, l.Kind, l.State
		binary.LittleEndian.PutUint16(p[6:], l.Cell)
		put32(p[9:], math.Float32bits(float32(l.Size)))
		putF64(p[13:], l.StartedAtMS)
		b.tail = append(b.tail, p[:]...)
	}
}

// WriteTo writes the batch with its number and empties it for the next.
func (b *BatchWriter) WriteTo(w io.Writer, clockMS float64, seq uint32) error {
	put32(b.head[:], uint32(b.count))
	put32(b.head[4:], uint32(batchHeader+len(b.records)+len(b.tail)))
	putF64(b.head[8:], clockMS)
	put32(b.head[16:], seq)
	for _, part := range [][]byte{b.head[:], b.records, b.tail} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	b.count, b.records, b.tail = 0, b.records[:0], b.tail[:0]
	return nil
}

// Action is one decoded action of a reply; which fields count depends on Code.
type Action struct {
	Code       uint8
	Instance   uint32
	ID         uint64
	Backend    uint32
	Attempt    uint8
	DurationMS float64 // Send: time-out, Refuse: advice, Timer: delay
	Token      uint32
	On         bool
	Text       string
}

// Action codes, for those who read replies.
const (
	ActionCancelAttempt  = actCancel
	ActionHealthCheck    = actProbe
	ActionStartAttempt   = actSend
	ActionFail           = actFail
	ActionSetTimer       = actTimer
	ActionCloseIdle      = actClose
	ActionReportFault    = actFault
	ActionReject         = actRefuse
	ActionFetchEndpoints = actFetch
	ActionWatchEndpoints = actWatch
	ActionLog            = actLog
	ActionSendMessage    = actTell
)

// maxReplySize bounds a reply's size: an adapter gone wrong must not eat the memory.
const maxReplySize = 1 << 30

// ReadReply reads the reply to batch seq, appending its actions.
func ReadReply(r io.Reader, seq uint32, into []Action) ([]Action, error) {
	var head [replyHeader]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return into, fmt.Errorf("reply to batch %d: %w", seq, err)
	}
	count, length := uint64(u32(head[:])), uint64(u32(head[4:]))
	if got := u32(head[8:]); got != seq {
		return into, fmt.Errorf("a reply to batch %d where one to %d is due", got, seq)
	}
	if length < replyHeader+count*actionSize || length > maxReplySize {
		return into, fmt.Errorf("a reply of %d actions says it is %d bytes long", count, length)
	}
	body := make([]byte, length-replyHeader)
	if _, err := io.ReadFull(r, body); err != nil {
		return into, fmt.Errorf("reply to batch %d: %w", seq, err)
	}
	tail := body[count*actionSize:]
	for i := range count {
		rec := body[i*actionSize : (i+1)*actionSize]
		a := Action{Code: rec[0], Instance: u32(rec[1:])}
		switch a.Code {
		case actSend:
			a.ID, a.Backend, a.DurationMS = u64(rec[5:]), u32(rec[13:]), f64(rec[17:])
		case actCancel:
			a.ID, a.Attempt = u64(rec[5:]), rec[13]
		case actFail:
			a.ID = u64(rec[5:])
		case actRefuse:
			a.ID, a.DurationMS = u64(rec[5:]), f64(rec[13:])
		case actTimer:
			a.DurationMS, a.Token = f64(rec[5:]), u32(rec[13:])
		case actProbe, actClose:
			a.Backend = u32(rec[5:])
		case actWatch:
			a.On = rec[5] != 0
		case actFetch:
		case actFault, actLog:
			at, n := uint64(u32(rec[5:])), uint64(u32(rec[9:]))
			if at+n > uint64(len(tail)) {
				return into, fmt.Errorf("reply to batch %d, action %d: its text lies outside of the reply", seq, i)
			}
			a.Text = string(tail[at : at+n])
		case actTell:
			return into, errors.New("balancers share nothing here: no messages between them")
		default:
			return into, fmt.Errorf("reply to batch %d, action %d: unknown code %d", seq, i, a.Code)
		}
		if math.IsNaN(a.DurationMS) || math.IsInf(a.DurationMS, 0) {
			return into, fmt.Errorf("reply to batch %d, action %d: a time of %v ms", seq, i, a.DurationMS)
		}
		into = append(into, a)
	}
	return into, nil
}

// StatusCode is the wire's number of a status.
func StatusCode(s piernotch.Status) uint8 {
	for code, status := range statusByCode {
		if status == s {
			return code
		}
	}
	return 0
}

// StateCode is the wire's number of a server's state.
func StateCode(s piernotch.State) uint8 {
	for code, state := range stateByCode {
		if state == s {
			return uint8(code)
		}
	}
	return 0
}

// ListKindCode is the wire's number of a kind of list.
func ListKindCode(k piernotch.UpdateKind) uint8 {
	for code, kind := range listKindByCode {
		if kind == k {
			return uint8(code)
		}
	}
	return 0
}

// Extra is what settings hold on the wire beyond those of the module.
type Extra struct {
	Number       int
	MachineTypes []string
	KeepAliveMS  float64
	DialMS       float64
	SlackMS      float64
	GraceMS      float64
	FallMultiple float64
	FallMS       float64
	WorthBy      string
	Columns      []string
}

// Marshal writes settings as a Start event holds them; Settings reads them back.
func Marshal(s *piernotch.Settings, x Extra) ([]byte, error) {
	var out struct {
		settingsJSON
		Family       string   `json:"family"`
		MyNumber     int      `json:"my_number"`
		MachineTypes []string `json:"machine_types"`
		WorthBy      string   `json:"worth_by"`
		Weights      string   `json:"weights"`
		Limits       struct {
			MostTries       int     `json:"most_tries"`
			SecondCopies    bool    `json:"second_copies"`
			Cancelling      bool    `json:"cancelling"`
			MayProbe        bool    `json:"may_probe"`
			RetryAfter      bool    `json:"retry_after"`
			MaxRetryAfterMS float64 `json:"max_retry_after_ms"`
			KeepAliveMS     float64 `json:"keepalive_ms"`
			DialMS          float64 `json:"dial_timeout_ms"`
			MaxOpen         int     `json:"max_open"`
			Multiplex       int     `json:"multiplex"`
			Peers           bool    `json:"peers"`
			CPU             float64 `json:"cpu_us_per_s"`
		} `json:"limits"`
		Rules struct {
			AskWithinMS  float64 `json:"ask_within_ms"`
			ColdFrom     float64 `json:"cold_from"`
			ColdMS       float64 `json:"cold_ms"`
			SlackMS      float64 `json:"answer_slack_ms"`
			GraceMS      float64 `json:"drain_grace_ms"`
			FallMultiple float64 `json:"fall_multiple"`
			FallMS       float64 `json:"overload_for_ms"`
		} `json:"rules"`
		Specifics struct {
			WarmKeys bool `json:"warm_keys"`
		} `json:"specifics"`
	}
	out.Family, out.MyNumber, out.MachineTypes, out.WorthBy, out.Weights = "proxy", x.Number, x.MachineTypes, x.WorthBy, "rough"
	out.Report.Columns, out.Report.How = x.Columns, "answers"
	out.GroupSize, out.MyZone, out.Zones, out.QuantumMS = s.BalancerCount, s.Zone, s.Zones, Milliseconds(s.Tick)
	out.Discovery = "pushed"
	if s.PollDiscovery {
		out.Discovery = "on_request"
	}
	out.OverShareWorth = s.OverQuotaWeight
	out.Specifics.WarmKeys = s.KeyAffinity
	l := &out.Limits
	l.MostTries, l.SecondCopies, l.Cancelling, l.MayProbe = s.Limits.MaxAttempts, s.Limits.HedgedRequests, s.Limits.CancelAttempts, s.Limits.HealthChecks
	l.RetryAfter, l.MaxRetryAfterMS = s.Limits.RetryAfter, Milliseconds(s.Limits.MaxRetryAfter)
	l.KeepAliveMS, l.DialMS, l.MaxOpen, l.Multiplex, l.CPU = x.KeepAliveMS, x.DialMS, 20000, 1, 1e6
	r := &out.Rules
	r.AskWithinMS, r.ColdFrom, r.ColdMS = Milliseconds(s.Rules.PollInterval), s.Rules.SlowStartCapacity, Milliseconds(s.Rules.SlowStartDuration)
	r.SlackMS, r.GraceMS, r.FallMultiple, r.FallMS = x.SlackMS, x.GraceMS, x.FallMultiple, x.FallMS
	out.Classes = append(out.Classes, make([]classJSON, len(s.Classes))...)
	for i, c := range s.Classes {
		j := &out.Classes[i]
		j.Name, j.GoalTimeMS, j.DeadlineMS, j.Points, j.LateWorth = c.Name, Milliseconds(c.LatencyObjective), Milliseconds(c.Deadline), c.PriorityWeight, c.LateWeightShare
		j.DedupWindowMS = Milliseconds(c.DedupWindow)
		for name, e := range retrySafetyByName {
			if e == c.RetrySafety {
				j.Effect = name
			}
		}
		for name, sc := range dedupScopeByName {
			if sc == c.DedupScope && name != "" {
				j.DedupScope = name
			}
		}
	}
	for _, t := range s.Tenants {
		out.Tenants = append(out.Tenants, tenantJSON{t.Name, t.QuotaPerSec})
	}
	return json.Marshal(&out)
}

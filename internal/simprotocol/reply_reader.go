package simprotocol

import (
	"errors"
	"fmt"
	"io"
	"math"

	"piernotch"
)

// Action is one decoded action of a reply. Fields that Code does not use are zero.
type Action struct {
	Code          ActionCode
	Balancer      BalancerNumber
	ID            uint64
	Server        piernotch.ServerID
	AttemptNumber uint8
	DurationMS    float64 // finite; StartAttempt: timeout; Reject: Retry-After; SetTimer: delay
	Token         uint32
	On            bool   // WatchEndpoints: true starts the watch, false ends it
	Text          string // ReportFault, Log
}

// maxReplySize limits a reply, in bytes, so a broken adapter cannot exhaust the memory.
const maxReplySize = 1 << 30

// ReadReply reads the reply to batch seq and appends its actions to into. Any error is a *FrameError,
// after which the stream is unusable. The actions decoded before the error are returned, too.
func ReadReply(input io.Reader, seq uint32, into []Action) ([]Action, error) {
	var head [replyHeaderSize]byte
	if _, err := io.ReadFull(input, head[:]); err != nil {
		return into, replyError(seq, "reply to batch %d: %w", seq, err)
	}
	count, length := uint64(u32(head[:])), uint64(u32(head[4:]))
	if got := u32(head[8:]); got != seq {
		return into, replyError(seq, "a reply to batch %d where one to %d is due", got, seq)
	}
	if length < replyHeaderSize+count*actionSize || length > maxReplySize {
		return into, replyError(seq, "a reply of %d actions says it is %d bytes long", count, length)
	}
	body := make([]byte, length-replyHeaderSize)
	if _, err := io.ReadFull(input, body); err != nil {
		return into, replyError(seq, "reply to batch %d: %w", seq, err)
	}
	tail := body[count*actionSize:]
	for i := range count {
		action, err := decodeAction(body[i*actionSize:(i+1)*actionSize], tail)
		if err != nil {
			return into, &FrameError{Seq: seq, Record: int(i), Err: wrapActionError(seq, i, err)}
		}
		into = append(into, action)
	}
	return into, nil
}

var (
	errMessagesUnsupported = errors.New("messages between balancers are not supported")
	errTextOutside         = errors.New("its text lies outside of the reply")
)

func replyError(seq uint32, format string, args ...any) error {
	return &FrameError{Seq: seq, Record: -1, Err: fmt.Errorf(format, args...)}
}

func wrapActionError(seq uint32, i uint64, err error) error {
	if errors.Is(err, errMessagesUnsupported) {
		return err
	}
	return fmt.Errorf("reply to batch %d, action %d: %w", seq, i, err)
}

// decodeAction decodes one record of a reply. The tail holds the texts of logs and faults.
func decodeAction(record, tail []byte) (Action, error) {
	action := Action{Code: record[0], Balancer: BalancerNumber(u32(record[1:]))}
	switch action.Code {
	case ActionStartAttempt:
		action.ID, action.Server = u64(record[5:]), piernotch.ServerID(u32(record[13:]))
		action.DurationMS = f64(record[17:])
	case ActionCancelAttempt:
		action.ID, action.AttemptNumber = u64(record[5:]), record[13]
	case ActionFail:
		action.ID = u64(record[5:])
	case ActionReject:
		action.ID, action.DurationMS = u64(record[5:]), f64(record[13:])
	case ActionSetTimer:
		action.DurationMS, action.Token = f64(record[5:]), u32(record[13:])
	case ActionHealthCheck, ActionCloseIdle:
		action.Server = piernotch.ServerID(u32(record[5:]))
	case ActionWatchEndpoints:
		action.On = record[5] != 0
	case ActionFetchEndpoints:
	case ActionReportFault, ActionLog:
		offset, length := uint64(u32(record[5:])), uint64(u32(record[9:]))
		if offset+length > uint64(len(tail)) {
			return action, errTextOutside
		}
		action.Text = string(tail[offset : offset+length])
	case ActionSendMessage:
		return action, errMessagesUnsupported
	default:
		return action, fmt.Errorf("unknown code %d", action.Code)
	}
	if math.IsNaN(action.DurationMS) || math.IsInf(action.DurationMS, 0) {
		return action, fmt.Errorf("a time of %v ms", action.DurationMS)
	}
	return action, nil
}

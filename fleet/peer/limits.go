package peer

import (
	"time"

	"verbenalanding.example/fleet/inlet"
	"verbenalanding.example/fleet/intake"
	"verbenalanding.example/fleet/rpc"
)

// The bounds of what clients of the port for peers can take of a process; whoever reaches the machine can open connections to it.
const (
	// maxConnections is more than twice the number of entry instances in two years.
	maxConnections = 512
	// maxMessage is the size of the largest message in bytes: a configuration has 400 kB in two years.
	maxMessage = 8 << 20
	// messageBytes and callBytes are the numbers of bytes that all messages that are being read, and all calls that are being answered, hold.
	messageBytes = 32 << 20
	callBytes    = 32 << 20
	// smallMessage is the size in bytes up to which a message may use the reserve, which is 1/reservePart of the room.
	smallMessage = 16 << 10
	reservePart  = 4
	// A message without a byte for stallTime, or slower than minRate bytes per second after that, gives way to others.
	stallTime = time.Second
	minRate   = 10 << 10
	// roomWait bounds the time for which a message waits for room, stallLimit the time without a byte of it, messageLimit the time that it takes in all and
	// answerTimeout the time for which an answer is not read.
	roomWait      = 2 * time.Second
	stallLimit    = 10 * time.Second
	messageLimit  = time.Minute
	answerTimeout = 10 * time.Second
)

func newLimits() *rpc.Limits {
	room := func(bytes int64) *inlet.Room {
		return inlet.NewRoom(intake.Settings{
			Bytes: bytes, Reserve: bytes / reservePart, Small: smallMessage, MaxWaiting: bytes, Stall: stallTime, Rate: minRate,
		}, roomWait, stallLimit, messageLimit)
	}
	return &rpc.Limits{MaxMessage: maxMessage, Messages: room(messageBytes), Calls: room(callBytes)}
}

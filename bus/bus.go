// Package bus carries events inside one process, by watermill's gochannel
// (design.md section 7.3).
package bus

import (
	"context"
	"encoding/json"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/juju/errors"

	"linedrum.example/linedrum/lifecycle"
)

// Topics.
const (
	TopicTable   = "table"    // calot entries that came or went
	TopicInForce = "in-force" // cells adopted
	TopicRequest = "request"  // requests that ended
)

// Bus is safe for concurrent use.
type Bus struct {
	crew *lifecycle.Crew
	pub  *gochannel.GoChannel
}

// New makes a bus; publishing never waits for whoever listens.
func New(c *lifecycle.Crew) *Bus {
	return &Bus{c, gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: 1024}, watermill.NopLogger{})}
}

// Publish sends one event; an event that does not encode is a fault of ours.
func (b *Bus) Publish(topic string, payload any) {
	body, err := json.Marshal(payload)
	if err != nil {
		panic(err)
	}
	// The only error is a closed bus, and then nobody listens.
	_ = b.pub.Publish(topic, message.NewMessage(watermill.NewShortUUID(), body))
}

// Subscribe starts a duty that takes each event of a topic in turn.
func Subscribe[T any](b *Bus, topic string, each func(T)) error {
	in, err := b.pub.Subscribe(b.crew.Context(), topic)
	if err != nil {
		return errors.Trace(err)
	}
	b.crew.Start(func(ctx context.Context) {
		for m := range in {
			var payload T
			if json.Unmarshal(m.Payload, &payload) == nil {
				each(payload)
			}
			m.Ack()
		}
	})
	return nil
}

// Close ends all subscriptions.
func (b *Bus) Close() { _ = b.pub.Close() }

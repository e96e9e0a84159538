package feed

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/stackspindle/stackspindle/internal/feed/feedpb"
	"github.com/stackspindle/stackspindle/internal/kv"
)

const (
	// minPackedBytes is the least total size of keys and values from which an answer's items are
	// compressed. Below it, compression costs more than it saves.
	minPackedBytes = 4 << 10
	// maxPackedAnswers is how many packed answers are cached. The followers of one watcher ask for
	// the same: the latest change or, if they have just started, a snapshot.
	maxPackedAnswers = 4
	// snapshotTTL is how long a packed snapshot is served to instances that have nothing yet. They
	// ask for the changes after it next.
	snapshotTTL = 500 * time.Millisecond
)

// packer compresses the items of answers and caches the result, so that each answer is compressed
// once for all followers that ask for it. It is safe for concurrent use.
type packer struct {
	mu     sync.Mutex     // guards recent
	recent []packedAnswer // oldest first
}

// packedAnswer is an update whose events are packed.
type packedAnswer struct {
	Update    // without events
	after     int64
	packed    []byte
	createdAt time.Duration
}

// cachedSnapshot returns a packed snapshot that is not older than snapshotTTL.
func (p *packer) cachedSnapshot(now time.Duration) (packedAnswer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range slices.Backward(p.recent) {
		if a.Snapshot && now-a.createdAt < snapshotTTL {
			return a, true
		}
	}
	return packedAnswer{}, false
}

// pack returns the packed events of an update for a follower at revision after. It returns nil if
// the events are to be sent uncompressed.
func (p *packer) pack(now time.Duration, after int64, update Update) []byte {
	if payloadSize(update.Events) < minPackedBytes {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.recent {
		if a.after == after && a.Snapshot == update.Snapshot && a.Revision == update.Revision {
			return a.packed
		}
	}
	raw, err := proto.Marshal(&feedpb.Items{Items: encodeItems(update.Events)})
	if err != nil {
		// For example a key that is not valid UTF-8. Sending the items uncompressed reports the error.
		return nil
	}
	a := packedAnswer{Update: update, after: after, packed: deflate(raw), createdAt: now}
	a.Events = nil
	if len(p.recent) == maxPackedAnswers {
		p.recent = slices.Delete(p.recent, 0, 1)
	}
	p.recent = append(p.recent, a)
	return a.packed
}

func payloadSize(events []kv.Event) int {
	size := 0
	for _, e := range events {
		size += len(e.Key) + len(e.Value)
	}
	return size
}

func encodeItems(events []kv.Event) []*feedpb.Item {
	items := make([]*feedpb.Item, 0, len(events))
	for _, e := range events {
		items = append(items, &feedpb.Item{Key: e.Key, Value: e.Value, Revision: e.Revision, Lease: int64(e.Lease), Deleted: e.Deleted})
	}
	return items
}

// unpack decompresses and decodes packed items.
func unpack(packed []byte) ([]*feedpb.Item, error) {
	raw, err := inflate(packed, maxAnswerBytes)
	if err != nil {
		return nil, err
	}
	var items feedpb.Items
	if err := proto.Unmarshal(raw, &items); err != nil {
		return nil, fmt.Errorf("packed items: %w", err)
	}
	return items.Items, nil
}

func deflate(value []byte) []byte {
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.BestSpeed) // the level is valid
	_, _ = w.Write(value)                        // a Buffer never fails
	_ = w.Close()
	return b.Bytes()
}

// inflate decompresses a value. A result of more than maxBytes, the part of maxAnswerBytes that the
// answer has left, is an error.
func inflate(deflated []byte, maxBytes int) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(deflated)), int64(maxBytes)+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("decompress value: %w", err)
	case len(value) > maxBytes:
		return nil, fmt.Errorf("compressed values of one answer exceed %d bytes", maxAnswerBytes)
	}
	return value, nil
}

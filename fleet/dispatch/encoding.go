package dispatch

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// ErrRecordTooLarge is returned for a record that cannot be stored in the size that the store accepts.
var ErrRecordTooLarge = errors.New("record too large")

const (
	// compressedRecord is the first byte of a compressed record; one that is not compressed begins with a brace.
	compressedRecord = 0x1f
	// maxRecordSize bounds a record after its decompression. The largest job has 65,536 tasks.
	maxRecordSize = 256 << 20
)

// Encode returns the record as it is stored, in at most limit bytes. A record that is larger is compressed; if it is still larger, it is stored
// without checkpoints, so that after a takeover the tasks begin anew.
func (r *Record) Encode(limit int) ([]byte, error) {
	plain, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	if len(plain) <= limit {
		return plain, nil
	}
	for _, content := range []func() ([]byte, error){
		func() ([]byte, error) { return plain, nil },
		func() ([]byte, error) { return json.Marshal(r.withoutCheckpoints()) },
	} {
		if plain, err = content(); err != nil {
			return nil, fmt.Errorf("encode record: %w", err)
		}
		compressed, err := compress(plain)
		if err != nil {
			return nil, fmt.Errorf("encode record: %w", err)
		}
		if len(compressed) <= limit {
			return compressed, nil
		}
	}
	return nil, fmt.Errorf("%w: %d bytes, want at most %d once compressed", ErrRecordTooLarge, len(plain), limit)
}

// withoutCheckpoints returns a copy without checkpoints, and without the tasks of which nothing else is recorded.
func (r *Record) withoutCheckpoints() *Record {
	reduced := *r
	reduced.Steps = slices.Clone(r.Steps)
	for i := range reduced.Steps {
		tasks := slices.Clone(reduced.Steps[i].Tasks)
		tasks = slices.DeleteFunc(tasks, func(t TaskRecord) bool { return len(t.FailedRuns) == 0 })
		for j := range tasks {
			tasks[j].Checkpoint = ""
		}
		reduced.Steps[i].Tasks = tasks
	}
	return &reduced
}

func compress(content []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(content); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// DecodeRecord decodes a stored record.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if len(value) > 0 && value[0] == compressedRecord {
		content, err := decompress(value)
		if err != nil {
			return r, fmt.Errorf("decode record: %w", err)
		}
		value = content
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("decode record: %w", err)
	}
	return r, nil
}

func decompress(value []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	content, err := io.ReadAll(io.LimitReader(reader, maxRecordSize+1))
	if err != nil {
		return nil, err
	}
	if len(content) > maxRecordSize {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrRecordTooLarge, maxRecordSize)
	}
	return content, nil
}

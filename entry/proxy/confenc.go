package proxy

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/wire"
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

const (
	// minCompressedBytes is the size from which a configuration is compressed for other entries.
	minCompressedBytes = 4 << 10
	// maxConfigBytes bounds the configuration of another entry.
	maxConfigBytes = 32 << 20
)

// encodedConfig is a configuration as other entries get it. It is compressed once one asks for that: a large one takes
// long over a small link.
type encodedConfig struct {
	json []byte
	// hash identifies the content; it is never 0.
	hash uint64

	once       sync.Once
	compressed []byte
}

// newEncodedConfig encodes a configuration.
func newEncodedConfig(c rules.Config) (e *encodedConfig, err error) {
	defer fault.Annotate(&err, "encode configuration version %d", c.Version)
	e = &encodedConfig{}
	if e.json, err = json.Marshal(c); err != nil {
		return nil, err
	}
	e.hash = max(1, xxhash.Sum64(e.json))
	return e, nil
}

// addTo adds the configuration to a reply, compressed if that is worth it and the caller accepts it.
func (e *encodedConfig) addTo(a *wire.ListReply, acceptsCompressed bool) {
	a.Config = e.json
	if !acceptsCompressed || len(e.json) < minCompressedBytes {
		return
	}
	e.once.Do(e.compress)
	a.Config, a.ConfigCompressed = e.compressed, true
}

func (e *encodedConfig) compress() {
	var b bytes.Buffer
	// A buffer takes all that is written, and the level is a valid one.
	w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	_, _ = w.Write(e.json)
	_ = w.Close()
	e.compressed = b.Bytes()
}

// decodeConfig returns the configuration in a reply.
func decodeConfig(a *wire.ListReply) (c rules.Config, err error) {
	defer fault.Annotate(&err, "decode the configuration of another entry")
	if !a.ConfigCompressed {
		return c, json.Unmarshal(a.Config, &c)
	}
	r, err := gzip.NewReader(bytes.NewReader(a.Config))
	if err != nil {
		return c, err
	}
	b, err := io.ReadAll(io.LimitReader(r, maxConfigBytes+1))
	if err != nil {
		return c, err
	}
	if len(b) > maxConfigBytes {
		return c, eris.Errorf("it has more than %d bytes", maxConfigBytes)
	}
	return c, json.Unmarshal(b, &c)
}

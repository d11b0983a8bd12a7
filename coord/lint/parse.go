package lint

import (
	"bytes"
	"errors"
	"io"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/rules"
	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// Parse reads a configuration in YAML, or in JSON, which is YAML too. Its fields are those of rules.Config in kebab
// case, its times are texts such as "900ms". Errors name the line.
func Parse(b []byte) (c rules.Config, err error) {
	defer fault.Annotate(&err, "read the configuration")
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	if err := d.Decode(&c); err != nil {
		if errors.Is(err, io.EOF) {
			return c, eris.New("line 1: it is empty")
		}
		return c, err
	}
	if err := d.Decode(new(rules.Config)); !errors.Is(err, io.EOF) {
		return c, eris.New("there is more than one document")
	}
	return c, nil
}

package settings_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/settings"
)

// serverSettings are settings with a name, an address and a duration.
type serverSettings struct {
	Name    string            `json:"name"`
	Address string            `json:"address"`
	Timeout settings.Duration `json:"timeout"`
}

func (s *serverSettings) Check(c *settings.Checker) {
	c.Name("name", s.Name)
	c.Address("address", s.Address)
	c.Positive("timeout", int64(s.Timeout))
}

// TestFaultsHaveLineAndField guards the faults of files that cannot be decoded: each
// has the line, the field and a remedy.
func TestFaultsHaveLineAndField(t *testing.T) {
	cases := map[string]struct {
		text string
		want settings.Fault
	}{
		"unknown field": {"{\n\t\"nmae\": \"x\"\n}", settings.Fault{Line: 2, Field: "nmae"}},
		"wrong type":    {"{\n\t\"name\": 7\n}", settings.Fault{Line: 2, Field: "name"}},
		"text after":    {"{\"name\": \"x\"}\n{}", settings.Fault{Line: 2, Field: "(file)"}},
		"no JSON":       {"{", settings.Fault{Line: 1, Field: "(file)"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := settings.Parse("f", []byte(c.text), &serverSettings{})
			faults, ok := err.(settings.Faults)
			is.True(ok)
			is.Equal(len(faults), 1)
			is.Equal(faults[0].Line, c.want.Line)
			is.Equal(faults[0].Field, c.want.Field)
			is.True(faults[0].Remedy != "")
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name": "a", /* why */ "address": "127.0.0.1:1", "timeout": "1s",}`))
	f.Add([]byte(`{"timeout": 3}`))
	f.Add([]byte(`[[`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var s serverSettings
		if settings.Parse("f", text, &s) == nil && (s.Name == "" || s.Timeout <= 0) {
			t.Fatal("Parse accepted settings that the check must refuse")
		}
	})
}

func ExampleParse() {
	text := "{\n\t// comments are allowed\n\t\"name\": \"\",\n\t\"address\": \"here\",\n\t\"timeout\": \"1s\"\n}"
	fmt.Println(settings.Parse("door.jsonc", []byte(text), &serverSettings{}))
	// Output:
	// door.jsonc:3: name: empty; write a name
	// door.jsonc:4: address: no IP address and port; write one such as "127.0.0.1:7001"
}

func ExampleDuration() {
	d := settings.Duration(250 * time.Millisecond)
	fmt.Println(d.AddTo(time.Unix(0, 0)).UnixMilli())
	// Output: 250
}

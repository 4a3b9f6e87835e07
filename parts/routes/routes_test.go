package routes_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/routes"
)

func ExampleTable_Match() {
	table := routes.New(routes.Config{Version: 3, Routes: []routes.Route{
		{Name: "all", Host: "h", Prefix: "/"},
		{Name: "drafts", Host: "h", Prefix: "/drafts/"},
	}})
	for _, path := range []string{"/drafts/1", "/draft", "/x/"} {
		route, _ := table.Match("h", path)
		fmt.Println(path, route.Name)
	}
	// Output:
	// /drafts/1 drafts
	// /draft all
	// /x/ all
}

func TestSharesFollowTheirWeights(t *testing.T) {
	is := is.New(t)
	r := routes.Route{Shares: []routes.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	is.Equal(r.Pick(0.5), "a")
	is.Equal(r.Pick(0.95), "b")
	is.Equal(routes.Route{}.Pick(0.5), "")
}

func TestKeys(t *testing.T) {
	is := is.New(t)
	open := routes.New(routes.Config{})
	_, ok := open.Organisation("")
	is.True(ok) // nobody needs a key
	closed := routes.New(routes.Config{Keys: map[string]routes.Organisation{"k": {Name: "o"}}})
	_, ok = closed.Organisation("other")
	is.True(!ok)
	o, ok := closed.Organisation("k")
	is.True(ok)
	is.Equal(o.Name, "o")
}

func TestRepeats(t *testing.T) {
	is := is.New(t)
	is.True(routes.Route{Repeat: routes.Idempotent}.MayRepeat())
	is.True(!routes.Route{Repeat: routes.AtMostOnce}.MayRepeat())
	is.True(!routes.Route{Repeat: routes.Stream}.MayRepeat())
	is.True(routes.Route{Repeat: routes.Stream, Resumable: true}.MayRepeat())
}

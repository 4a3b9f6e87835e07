package explain_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/camphormill/explain"
)

const sampleLog = `   3.1 front-1 {"level":"info","daemon":"front-1","part":"relay","request":"a1","target":"t1","sent":true,"error":"EOF","time":"2026-06-01T00:00:01Z","message":"attempt has no answer"}
   3.2 front-1 {"level":"warn","daemon":"front-1","part":"relay","request":"a1","target":"t1","attempts":1,"status":502,"reason":"answer_lost","time":"2026-06-01T00:00:01Z","message":"request ended"}
   3.3 front-1 {"level":"info","daemon":"front-1","part":"relay","request":"b2","status":200,"time":"2026-06-01T00:00:01Z","message":"request ended"}
   3.3 front-1 a1 in a line without JSON
`

func TestExplanationOfLostAnswer(t *testing.T) {
	is := is.New(t)
	lines, skipped, err := explain.Read(strings.NewReader(sampleLog), "a1")
	is.NoErr(err)
	is.Equal(len(lines), 2)
	is.Equal(skipped, 1)
	var out strings.Builder
	is.NoErr(explain.WriteReport(&out, "a1", lines))
	is.True(strings.Contains(out.String(), "verdict: a target got it and its answer was lost; it may have run"))
}

// TestExplanationSaysHowResponseEnded guards against a verdict that doesn't tell a response that its
// target broke off from one that was complete.
func TestExplanationSaysHowResponseEnded(t *testing.T) {
	is := is.New(t)
	const log = `{"level":"info","daemon":"e1","part":"relay","request":"d1","target":"t1","framing":"connection","position":"inside_event","ended_by":"close","events":3,"bytes":8,"after":201.5,"caller_got":"%s","error":"unexpected EOF","time":"2026-06-01T00:00:01Z","message":"response ended early"}
{"level":"warn","daemon":"e1","part":"relay","request":"d1","target":"t2","attempts":2,"status":200,"events":9,"framing":"chunks","reason":"%s","time":"2026-06-01T00:00:01Z","message":"request ended"}
`
	for _, test := range []struct{ got, reason, verdict string }{
		{"cut_off", "stream_broken", "its stream broke off and could not be resumed; a response that ends with its connection of target t1 ended early, inside event, by close, after 3 events to the caller, who got a cut-off response in the end"},
		{"cut_off", "resume_failed", "its stream broke off and the last target that was to resume it answered with something else; a response"},
		{"whole", "", "answered 200 by target t2; a response that ends with its connection of target t1 ended early, inside event, by close, after 3 events to the caller, who got a whole response in the end"},
	} {
		lines, _, err := explain.Read(strings.NewReader(fmt.Sprintf(log, test.got, test.reason)), "d1")
		is.NoErr(err)
		var out strings.Builder
		is.NoErr(explain.WriteReport(&out, "d1", lines))
		is.True(strings.Contains(out.String(), "verdict: "+test.verdict))
	}
}

// TestExplanationSaysThatRetryWasWithheld guards against a verdict that blames only the target for a request whose
// retry the budget withheld.
func TestExplanationSaysThatRetryWasWithheld(t *testing.T) {
	is := is.New(t)
	const log = `{"level":"warn","daemon":"e1","part":"relay","request":"d1","service":"s","cause":"target_refused","sent":false,"tokens":0.2,"time":"2026-06-01T00:00:01Z","message":"retry decided"}
{"level":"warn","daemon":"e1","part":"relay","request":"d1","target":"t2","attempts":1,"status":503,"reason":"target_refused","time":"2026-06-01T00:00:01Z","message":"request ended"}
`
	lines, _, err := explain.Read(strings.NewReader(log), "d1")
	is.NoErr(err)
	var out strings.Builder
	is.NoErr(explain.WriteReport(&out, "d1", lines))
	is.True(strings.Contains(out.String(), "it did not run; a retry was due (target_refused), and the retry budget of its service withheld it"))
}

func TestNoLinesOfRequest(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(explain.WriteReport(&out, "c3", nil))
	is.True(strings.Contains(out.String(), "no line names request c3"))
}

// TestExplanationsOfRecordedLogs checks the explanations of requests that failed on the bench.
// testdata holds their log lines as the daemons wrote them. The first line of each file is
// the request ID.
func TestExplanationsOfRecordedLogs(t *testing.T) {
	is := is.New(t)
	for name, cause := range map[string]string{
		"refused":  "no free slot",
		"revoked":  "its key belongs to no organisation",
		"outdated": "could not verify that the key is still valid",
		"broken":   "its stream broke off",
		"timeout":  "its deadline passed while a target ran it",
		"unknown":  "its answer was lost; it may have run",
		"shed":     "targets were full or draining; it did not run",
		"erred":    "itself answered 500",
		"overtime": "its deadline passed while a target ran it",
		"crashed":  "its answer was lost; it may have run",
	} {
		raw, err := os.ReadFile("testdata/" + name + ".log")
		is.NoErr(err)
		id := strings.TrimSpace(strings.SplitN(string(raw), "\n", 2)[0])
		lines, _, err := explain.Read(strings.NewReader(string(raw)), id)
		is.NoErr(err)
		var out strings.Builder
		is.NoErr(explain.WriteReport(&out, id, lines))
		is.True(strings.Contains(out.String(), cause))
	}
}

// TestExplanationSaysWhenInStopRequestCame guards against a verdict that doesn't tell a request that a stopping entry
// accepted from one that was running when the stop began.
func TestExplanationSaysWhenInStopRequestCame(t *testing.T) {
	is := is.New(t)
	const log = `{"level":"warn","daemon":"e1","part":"relay","request":"d1","target":"t2","attempts":1,"status":200,"reason":"stopped","into_stop":3120.5,"accepted_by":"estimate","time":"2026-06-01T00:00:01Z","message":"request ended"}
`
	lines, _, err := explain.Read(strings.NewReader(log), "d1")
	is.NoErr(err)
	var out strings.Builder
	is.NoErr(explain.WriteReport(&out, "d1", lines))
	is.True(strings.Contains(out.String(), "it may have run; it came 3120 ms into the stop of the entry (basis: estimate)"))
}

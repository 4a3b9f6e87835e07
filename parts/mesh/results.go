package mesh

import "time"

// resultFlushInterval is how long the first result of a batch of orders waits for others.
const resultFlushInterval = 15 * time.Millisecond

// SendResults sends the results of a batch of orders to their leader, several in one message. It returns when
// results is closed. A result without an outcome is left out; the leader repeats its order.
func (m *Mesh) SendResults(leader string, results <-chan OrderResult) {
	var batch []OrderResult
	flush := time.NewTimer(resultFlushInterval)
	defer flush.Stop()
	send := func() {
		if len(batch) > 0 {
			first := batch[0]
			first.Also = batch[1:]
			m.Send(leader, Message{OrderResult: &first})
			batch = nil
		}
	}
	defer send()
	for {
		select {
		case r, ok := <-results:
			if !ok {
				return
			}
			if r.Result == "" {
				continue
			}
			if len(batch) == 0 {
				flush.Reset(resultFlushInterval)
			}
			batch = append(batch, r)
		case <-flush.C:
			send()
		}
	}
}

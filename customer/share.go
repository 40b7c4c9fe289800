package customer

// QueueShare returns how many of n places in a full queue are the share of a customer: as many as its
// weight gives it among the customers that queue something and itself. queued counts what each
// customer queues; work without a customer, under the empty name, has the weight of an average one.
func (d *Directory) QueueShare(n int, name string, queued map[string]int) int {
	total := d.queueWeight(name)
	for other, count := range queued {
		if other != name && count > 0 {
			total += d.queueWeight(other)
		}
	}
	return int(float64(n) * d.queueWeight(name) / total)
}

// queueWeight returns the weight of a customer in a queue, which is above 0, so that nobody is kept
// out of a queue for good.
func (d *Directory) queueWeight(name string) float64 {
	if c := d.byName[name]; c != nil {
		return max(c.Weight, minQueueWeight)
	}
	return max(d.meanWeight, minQueueWeight)
}

// minQueueWeight is the least weight of a customer in a queue.
const minQueueWeight = 0.001

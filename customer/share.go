package customer

// QueueShare returns how many of n places in a full queue are the share of a customer: as many as its
// weight gives it among the customers that queue something and itself. queued counts what each
// customer queues; work without a customer, under the empty name, has the weight of an average one.
func (d *Directory) QueueShare(n int, name string, queued map[string]int) int {
	weight, total := d.weightAmong(name, queued)
	return int(float64(n) * weight / total)
}

// Share returns the share of a customer as QueueShare does, as a part of 1.
func (d *Directory) Share(name string, queued map[string]int) float64 {
	weight, total := d.weightAmong(name, queued)
	return weight / total
}

// weightAmong returns the weight of a customer, and the sum of the weights of the customers that queue
// something and itself.
func (d *Directory) weightAmong(name string, queued map[string]int) (weight, total float64) {
	weight = d.queueWeight(name)
	total = weight
	for other, count := range queued {
		if other != name && count > 0 {
			total += d.queueWeight(other)
		}
	}
	return weight, total
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

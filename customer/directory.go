package customer

// Directory finds customers by key and by name. It doesn't change, so it may be shared.
type Directory struct {
	byKey  map[Digest]*Customer
	byName map[string]*Customer
	// meanWeight is the mean of the customers' weights; 0 without customers.
	meanWeight float64
}

// NewDirectory returns a directory of customers that passed Check. The caller must not change them
// afterwards.
func NewDirectory(customers []Customer) *Directory {
	d := &Directory{byKey: map[Digest]*Customer{}, byName: make(map[string]*Customer, len(customers))}
	for i := range customers {
		c := &customers[i]
		d.byName[c.Name] = c
		d.meanWeight += c.Weight / float64(len(customers))
		for _, key := range c.Keys {
			d.byKey[key] = c
		}
	}
	return d
}

// ByKey returns the customer that a key identifies; nil if no customer has the key.
func (d *Directory) ByKey(key Digest) *Customer { return d.byKey[key] }

// ByName returns the customer with a name; nil if there is none.
func (d *Directory) ByName(name string) *Customer { return d.byName[name] }

// All returns the customers by name. The caller must not change the map.
func (d *Directory) All() map[string]*Customer { return d.byName }

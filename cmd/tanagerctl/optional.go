package main

import "strconv"

// optionalInt is the value of an integer flag that may be absent; target then stays nil.
type optionalInt struct{ target **int }

// String returns the number, or the empty string if the flag is absent.
func (o optionalInt) String() string {
	if o.target == nil || *o.target == nil {
		return ""
	}
	return strconv.Itoa(**o.target)
}

// Set parses the number and stores it in target.
func (o optionalInt) Set(text string) error {
	n, err := strconv.Atoi(text)
	if err != nil {
		return err
	}
	*o.target = &n
	return nil
}

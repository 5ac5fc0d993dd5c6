package main

import "strconv"

// optionalInt is the value of a flag for a whole number that may be absent.
type optionalInt struct{ into **int }

// String returns the number, or nothing.
func (o optionalInt) String() string {
	if o.into == nil || *o.into == nil {
		return ""
	}
	return strconv.Itoa(**o.into)
}

// Set parses the number.
func (o optionalInt) Set(text string) error {
	n, err := strconv.Atoi(text)
	if err != nil {
		return err
	}
	*o.into = &n
	return nil
}

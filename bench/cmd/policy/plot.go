package main

// plot draws the plots.
func (s *study) plot(string) error { return nil }

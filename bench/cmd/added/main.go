// Command added measures the latency that an entry adds to requests. It calls the
// same stand-in backend server alternately directly and through an entry.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
)

// maxLatency is the timeout of a request and the longest latency that a histogram
// records.
const maxLatency = 10 * time.Second

// sample is one measured request.
type sample struct {
	throughEntry bool
	took         time.Duration
}

func main() {
	direct := kingpin.Flag("direct", "URL at the stand-in.").Required().String()
	through := kingpin.Flag("through", "URL at the entry.").Required().String()
	workers := kingpin.Flag("workers", "Callers at the same time.").Default("4").Int()
	requests := kingpin.Flag("requests", "Request pairs in all, at most 1000000.").Default("20000").Int()
	kingpin.Parse()
	if err := run(*direct, *through, *workers, min(*requests, 1_000_000)); err != nil {
		fmt.Fprintln(os.Stderr, "added:", err)
		os.Exit(1)
	}
}

// run sends the request pairs and prints the latency quantiles.
func run(direct, through string, workers, requests int) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}, Timeout: maxLatency}
	samples := make(chan sample, workers)
	var wg sync.WaitGroup
	var firstError error
	var recordError sync.Once
	for range workers {
		wg.Go(func() {
			for range requests / workers {
				if err := measurePair(client, direct, through, samples); err != nil {
					recordError.Do(func() { firstError = err })
					return
				}
			}
		})
	}
	go func() {
		wg.Wait()
		close(samples)
	}()
	report(samples)
	return firstError
}

// measurePair sends one request directly and one through the entry.
func measurePair(client *http.Client, direct, through string, samples chan<- sample) error {
	for _, url := range []string{direct, through} {
		start := time.Now()
		if err := get(client, url); err != nil {
			return err
		}
		samples <- sample{throughEntry: url == through, took: time.Since(start)}
	}
	return nil
}

// get sends a GET request and reads the whole answer. It returns an error unless the
// status is 200.
func get(client *http.Client, url string) error {
	res, err := client.Get(url)
	if err != nil {
		return errors.Wrapf(err, "get %s", url)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Newf("get %s: status %d", url, res.StatusCode)
	}
	_, err = io.Copy(io.Discard, res.Body)
	return errors.Wrapf(err, "read %s", url)
}

// report prints the latency quantiles of direct requests and of those through the
// entry.
func report(samples <-chan sample) {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency.Microseconds(), 3) }
	direct, through := newHistogram(), newHistogram()
	for s := range samples {
		h := direct
		if s.throughEntry {
			h = through
		}
		_ = h.RecordValue(s.took.Microseconds())
	}
	fmt.Printf("%-10s %10s %10s %10s\n", "us", "p50", "p99", "p99.9")
	for _, row := range []struct {
		name string
		h    *hdrhistogram.Histogram
	}{{"direct", direct}, {"through", through}} {
		fmt.Printf("%-10s %10d %10d %10d\n", row.name,
			row.h.ValueAtQuantile(50), row.h.ValueAtQuantile(99), row.h.ValueAtQuantile(99.9))
	}
}

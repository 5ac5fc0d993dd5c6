// Command standin runs one stand-in backend server until Ctrl-C.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"tanagerbarrow/bench/standin"
)

func main() {
	var o standin.Options
	kingpin.Flag("service", "Service to announce.").Required().StringVar(&o.Service)
	kingpin.Flag("zone", "Availability zone to announce.").Required().StringVar(&o.AvailabilityZone)
	kingpin.Flag("slots", "Slots to announce.").Default("2").IntVar(&o.Slots)
	kingpin.Flag("entry", "Admin address of an entry; repeat it for several.").Required().StringsVar(&o.Entries)
	kingpin.Flag("announce-key", "Announcement key.").StringVar(&o.AnnounceKey)
	kingpin.Flag("service-time", "Time that each request takes.").Default("0s").DurationVar(&o.ServiceTime)
	kingpin.Parse()
	o.Generation = uint64(time.Now().UnixNano())
	s, err := standin.Start(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
	defer s.Close()
	fmt.Printf("http://%s\n", s.Address())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}

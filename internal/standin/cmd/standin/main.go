// Command standin runs one of the stand-ins (test doubles) of the demonstration
// and the tests: the platform, an upstream or callers. Its other subcommands
// publish values and take measurements.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/toucancove/toucancove/internal/standin/caller"
	"github.com/toucancove/toucancove/internal/standin/platform"
	"github.com/toucancove/toucancove/internal/standin/upstream"
)

func main() {
	app := kingpin.New("standin", "Stand-ins for the systems around toucancove.")

	platformCmd := app.Command("platform", "Run the configuration service.")
	platformListen := platformCmd.Flag("listen", "IP:port.").Required().String()

	publishCmd := app.Command("publish", "Publish a folder of YAML files, or one file.")
	publishPlatform := publishCmd.Flag("platform", "IP:port of the platform.").Required().String()
	publishRoot := publishCmd.Arg("folder", "Folder whose files are named like values.").Required().String()

	var upstreamConfig upstream.Config
	upstreamCmd := app.Command("upstream", "Run an upstream instance.")
	upstreamListen := upstreamCmd.Flag("listen", "IP:port.").Required().String()
	upstreamCmd.Flag("slots", "Requests processed concurrently.").Default("80").IntVar(&upstreamConfig.Slots)
	upstreamCmd.Flag("max-waiting", "Waiting requests beyond which it sheds; 0 for no limit.").IntVar(&upstreamConfig.MaxWaiting)
	upstreamCmd.Flag("cold-start", "Time after the start during which work takes ten times as long.").DurationVar(&upstreamConfig.ColdStart)
	upstreamCmd.Flag("loopback", "IP:port of the node's loopback listener.").StringVar(&upstreamConfig.Loopback)

	callerCmd := app.Command("caller", "Send load and print a table.")
	callerConfig := callerCmd.Flag("config", "YAML file of flows.").Required().String()

	var compare caller.CompareConfig
	compareCmd := app.Command("compare", "Compare the latency of an upstream called directly and through nodes.")
	compareCmd.Flag("direct", "URL of the upstream.").Required().StringVar(&compare.Direct)
	compareCmd.Flag("via", "URL of the same resource at a node.").Required().StringVar(&compare.Via)
	compareCmd.Flag("key", "Key sent to the node.").StringVar(&compare.Key)
	compareCmd.Flag("rate", "Calls a second to each URL.").Default("2000").IntVar(&compare.Rate)
	compareCmd.Flag("warmup", "Time of calls before the measurement.").Default("2s").DurationVar(&compare.Warmup)
	compareCmd.Flag("duration", "Time of the measurement.").Default("10s").DurationVar(&compare.Duration)

	spreadCmd := app.Command("spread", "Publish a value several times and measure how long the nodes take to hold it.")
	spreadPlatform := spreadCmd.Flag("platform", "IP:port of the platform.").Required().String()
	spreadName := spreadCmd.Flag("name", "Name of the value.").Required().String()
	spreadFile := spreadCmd.Flag("file", "YAML file with the value.").Required().String()
	spreadTimes := spreadCmd.Flag("times", "Number of publications.").Default("5").Int()
	spreadNodes := spreadCmd.Arg("operator", "IP:port of the nodes' operator listeners.").Required().Strings()

	recordsCmd := app.Command("records", "Print the counts of upstreams; fails if a key reached one.")
	recordsOf := recordsCmd.Arg("upstream", "IP:port.").Required().Strings()

	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	var err error
	switch command {
	case platformCmd.FullCommand():
		err = servePlatform(*platformListen)
	case publishCmd.FullCommand():
		err = publish(*publishPlatform, *publishRoot)
	case upstreamCmd.FullCommand():
		err = serveUpstream(*upstreamListen, upstreamConfig)
	case callerCmd.FullCommand():
		err = runCaller(*callerConfig)
	case compareCmd.FullCommand():
		err = caller.Compare(os.Stdout, compare)
	case spreadCmd.FullCommand():
		err = spread(*spreadPlatform, *spreadName, *spreadFile, *spreadTimes, *spreadNodes)
	case recordsCmd.FullCommand():
		err = checkRecords(*recordsOf)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		os.Exit(1)
	}
}

func servePlatform(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return platform.New(platform.Config{}).Serve(listener)
}

func serveUpstream(address string, c upstream.Config) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return upstream.New(c).Serve(listener)
}

func runCaller(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	flows, err := caller.ParseConfig(data)
	if err != nil {
		return err
	}
	if !caller.Print(os.Stdout, caller.Run(context.Background(), flows)) {
		return fmt.Errorf("a response was truncated or belonged to another request, or a flow completed no request")
	}
	return nil
}

func checkRecords(addresses []string) error {
	for _, address := range addresses {
		records, err := fetchRecords(address)
		if err != nil {
			return err
		}
		fmt.Printf("upstream %s: runs=%d completed=%d shed=%d cancelled=%d keyLeaks=%d\n", address,
			records.Runs, records.Completed, records.Shed, records.Cancelled, records.KeyLeaks)
		if records.KeyLeaks > 0 {
			return fmt.Errorf("a caller's key reached upstream %s", address)
		}
	}
	return nil
}

func fetchRecords(address string) (upstream.Records, error) {
	var records upstream.Records
	resp, err := http.Get("http://" + address + "/admin/records")
	if err != nil {
		return records, err
	}
	defer func() { _ = resp.Body.Close() }()
	return records, json.NewDecoder(resp.Body).Decode(&records)
}

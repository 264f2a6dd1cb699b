// Command toucancove is the node process that runs beside an upstream instance.
// It also contains commands for operators.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// version is set by the linker at release time.
var version = "dev"

// exitUsage is the exit status for invalid settings, values or arguments.
const exitUsage = 2

func main() { os.Exit(run(os.Args[1:])) }

// run executes one command and returns the exit status.
func run(args []string) int {
	app := kingpin.New("toucancove", "Overload control for service call graphs.")
	app.HelpFlag.Short('h')

	runCmd := app.Command("run", "Run the node.")
	settingsFile := runCmd.Flag("settings", "YAML settings of the node.").Required().String()

	meshCmd := app.Command("mesh", "Run a node of a mesh on the platform.")
	meshFile := meshCmd.Flag("settings", "YAML settings of the node.").Envar("TOUCANCOVE_CONFIG").Required().String()

	checkCmd := app.Command("check-config", "Validate files of published values.")
	checkName := checkCmd.Flag("name", "Name the value is published under, like services/claims.").Required().String()
	checkFile := checkCmd.Arg("file", "The value.").Required().String()

	statusCmd := app.Command("status", "Show a running node's view of itself.")
	statusAddress := statusCmd.Flag("operator", "Operator listener of the node, or metrics listener of a node of a mesh, as IP:port.").Required().String()

	quarantineCmd := app.Command("quarantine", "Work with requests that are kept from instances since they crash them.")
	liftCmd := quarantineCmd.Command("lift", "Let a request run again on all nodes of a mesh. The status lists those in quarantine.")
	liftControl := liftCmd.Flag("control", "Control listener of any node of the mesh, as IP:port.").Required().String()
	liftDigest := liftCmd.Arg("digest", "Digest of the request.").Required().String()

	keysCmd := app.Command("keys", "Work with workspace keys.")
	digestCmd := keysCmd.Command("digest", "Read a key from standard input and print its digest.")

	versionCmd := app.Command("version", "Print the version.")

	command, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "toucancove: %v, try --help\n", err)
		return exitUsage
	}
	switch command {
	case runCmd.FullCommand():
		return runNode(*settingsFile)
	case meshCmd.FullCommand():
		return runMesh(*meshFile)
	case checkCmd.FullCommand():
		return checkConfig(*checkName, *checkFile)
	case statusCmd.FullCommand():
		return showStatus(*statusAddress)
	case liftCmd.FullCommand():
		return liftQuarantine(*liftControl, *liftDigest)
	case digestCmd.FullCommand():
		return keyDigest()
	case versionCmd.FullCommand():
		fmt.Println(version)
	}
	return 0
}

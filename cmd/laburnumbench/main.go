// Command laburnumbench runs stand-ins for the platform and the backend servers,
// and the demo, experiments, measurements and soak of laburnumpick.
package main

import "laburnumpick.org/cmd/laburnumbench/bench"

func main() { bench.Main() }

// Command laburnumpick controls and inspects a laburnumpick fleet.
package main

import "laburnumpick.org/cmd/laburnumpick/command"

func main() { command.Main() }

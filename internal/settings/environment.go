package settings

import (
	"os"
	"strconv"

	"github.com/rotisserie/eris"
)

// Environment variables that override the settings file. They state what the machine grants to the process,
// which whoever writes the file may not know.
const (
	MemoryVariable      = "BARLEYSTEP_MEMORY_MB"
	DescriptorsVariable = "BARLEYSTEP_DESCRIPTORS"
)

// readEnvironment overrides limits by the environment. A variable that is empty overrides nothing.
func (l *Limits) readEnvironment() (err error) {
	if err = readNumber(MemoryVariable, &l.MemoryMB); err != nil {
		return err
	}
	return readNumber(DescriptorsVariable, &l.Descriptors)
}

func readNumber(variable string, number *int) (err error) {
	text := os.Getenv(variable)
	if text == "" {
		return nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n <= 0 {
		return eris.Errorf("environment: %s = %q: must be a number above 0", variable, text)
	}
	*number = n
	return nil
}

package platform

import "fmt"

// decorate adds what was being done to an error. errorx.Decorate is not used:
// it hides errors of other packages from errors.Is, so that callers could not
// tell ErrNotFound from ErrUnavailable.
func decorate(err error, format string, args ...any) error {
	return fmt.Errorf("%s: %w", fmt.Sprintf(format, args...), err)
}

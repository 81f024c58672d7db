//go:build cgo && linux

package earlysignals

/*
#include <signal.h>
#include <string.h>

// The C library hands constructors the program's arguments. The Go runtime leaves an ignored SIGHUP
// or SIGINT ignored until the program takes it; settings are read after that, so that none is missed.
__attribute__((constructor)) static void ignore_signals(int argc, char **argv, char **environment) {
	(void)environment;
	if (argc > 1 && (strcmp(argv[1], "platform") == 0 || strcmp(argv[1], "node") == 0)) {
		signal(SIGHUP, SIG_IGN);
		signal(SIGINT, SIG_IGN);
	}
}
*/
import "C"

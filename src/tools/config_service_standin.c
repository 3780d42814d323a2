/*
 * Stand-in of the configuration service as a program, for tests: serves a
 * directory of pages until SIGINT or SIGTERM, with delays and faults as its
 * options say.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "libstandin/config_service.h"

static bool parse_fault(const char *name, enum bb_config_service_fault *fault)
{
	if (!strcmp(name, "garbage"))
		*fault = BB_CONFIG_SERVICE_GARBAGE;
	else if (!strcmp(name, "bad-signature"))
		*fault = BB_CONFIG_SERVICE_BAD_SIGNATURE;
	else
		return false;
	return true;
}

int main(int argc, char **argv)
{
	char *directory = NULL;
	char *stale = NULL;
	char *address = NULL;
	struct in_addr listen = { 0 };
	int port = 0;
	int delay_ms = 0;
	int watch_ms = 30000;
	int fail_every = 0;
	char *fault = NULL;
	const GOptionEntry entries[] = {
		{ "directory", 0, 0, G_OPTION_ARG_FILENAME, &directory,
		  "Serve the pages and hosts.json of this directory", "DIR" },
		{ "stale-directory", 0, 0, G_OPTION_ARG_FILENAME, &stale,
		  "Answer every second request from this directory", "DIR" },
		{ "address", 0, 0, G_OPTION_ARG_STRING, &address,
		  "Listen on this address, by default 127.0.0.1", "IP" },
		{ "port", 0, 0, G_OPTION_ARG_INT, &port,
		  "Listen on this port, 0 for a free port", "PORT" },
		{ "delay", 0, 0, G_OPTION_ARG_INT, &delay_ms,
		  "Delay each answer", "MS" },
		{ "watch", 0, 0, G_OPTION_ARG_INT, &watch_ms,
		  "Hold a watch for this time at most", "MS" },
		{ "fault", 0, 0, G_OPTION_ARG_STRING, &fault,
		  "Inject this fault into answers", "garbage|bad-signature" },
		{ "fail-every", 0, 0, G_OPTION_ARG_INT, &fail_every,
		  "Fail every Nth request with status 503", "N" },
		{ 0 }
	};
	GOptionContext *context = g_option_context_new(NULL);
	struct bb_config_service_options options = { 0 };
	struct bb_config_service *s;
	struct bb_error err;
	GError *error = NULL;
	sigset_t stop;
	int sig;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		return 2;
	}
	g_option_context_free(context);
	if (!directory || port < 0 || port > UINT16_MAX || delay_ms < 0 ||
	    watch_ms < 0 || fail_every < 0 ||
	    (address && !inet_aton(address, &listen)) ||
	    (fault && !parse_fault(fault, &options.fault))) {
		fprintf(stderr, "--directory is required, --address must be an "
				"IP address, --fault garbage or bad-signature, "
				"--port at most 65535, and no number may be "
				"negative\n");
		return 2;
	}
	/* Blocked before the threads of the server start, so that they inherit
	 * the mask and sigwait() gets the signals. */
	sigemptyset(&stop);
	sigaddset(&stop, SIGINT);
	sigaddset(&stop, SIGTERM);
	sigprocmask(SIG_BLOCK, &stop, NULL);
	options = (struct bb_config_service_options){
		.directory = directory,
		.stale_directory = stale,
		.address = listen,
		.port = port,
		.delay_ms = delay_ms,
		.watch_ms = watch_ms,
		.fail_every = fail_every,
		.fault = options.fault,
	};
	s = bb_config_service_new(&options, &err);
	if (!s) {
		fprintf(stderr, "%s\n", err.message);
		return 1;
	}
	printf("listening on port %u\n", bb_config_service_port(s));
	fflush(stdout);
	sigwait(&stop, &sig);
	bb_config_service_delete(s);
	g_free(directory);
	g_free(stale);
	g_free(address);
	g_free(fault);
	return 0;
}

/* The daemon baobabd: parses the settings and runs the node of a host. */
#include <glib.h>
#include <stdio.h>

#include "baobabward/settings.h"
#include "libnode/daemon.h"
#include "libnode/signals.h"

int main(int argc, char **argv)
{
	struct bb_settings *settings;
	struct bb_error err;
	char *help;
	int rc;

	bb_signals_block();
	settings = bb_settings_parse(&argc, &argv, &help, &err);
	if (help) {
		fputs(help, stdout);
		g_free(help);
		return BB_EXIT_OK;
	}
	if (!settings) {
		fprintf(stderr, "baobabd: %s\n", err.message);
		return BB_EXIT_USAGE;
	}
	rc = bb_daemon_run(settings, NULL, NULL);
	bb_settings_delete(settings);
	return rc;
}

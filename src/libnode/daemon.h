/* What all daemons of a node share: log, libraries, exit codes. */
#ifndef BB_NODE_DAEMON_H
#define BB_NODE_DAEMON_H

#include "baobabward/node.h"

/* Exit codes, documented in the manual page. */
enum bb_exit {
	BB_EXIT_OK = 0,
	BB_EXIT_INTERRUPTED = 1,
	BB_EXIT_USAGE = 2,
	BB_EXIT_START = 3,
};

/**
 * bb_daemon_run() - run a node until it has shut down.
 * @settings: checked settings
 * @dialect: names of headers, NULL for the default
 * @feed: delivers the configuration, NULL to read it as the settings say
 *
 * Return: exit code of the process.
 */
enum bb_exit bb_daemon_run(const struct bb_settings *settings,
			   const struct bb_dialect *dialect,
			   const struct bb_feed *feed);

#endif

/*
 * Main function common to all daemons that run a node: sets up logging and
 * libraries, runs the node, and maps the result to an exit code.
 */
#ifndef BB_NODE_DAEMON_H
#define BB_NODE_DAEMON_H

#include "baobabward/node.h"

/**
 * enum bb_exit - exit codes, documented in the manual page.
 * @BB_EXIT_OK: the shutdown completed in time
 * @BB_EXIT_INTERRUPTED: a second signal or the end of the grace period cut the
 *                       shutdown short
 * @BB_EXIT_USAGE: bad flags or environment variables
 * @BB_EXIT_START: the node could not start
 */
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
 * @feed: delivers the configuration, NULL to read it from the file or service
 *        named in @settings
 *
 * Return: exit code of the process.
 */
enum bb_exit bb_daemon_run(const struct bb_settings *settings,
			   const struct bb_dialect *dialect,
			   const struct bb_feed *feed);

#endif

#include "libnode/daemon.h"

#include <curl/curl.h>
#include <malloc.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "baobabward/log.h"

/* Blocks of this size and more are given back when they are freed. Without the
 * setting, glibc raises the limit with each larger block, such as the text of a
 * configuration, that is freed. */
#define MMAP_THRESHOLD_BYTES (128 * 1024)

static GLogLevelFlags parse_level(const char *name)
{
	if (!strcmp(name, "error"))
		return G_LOG_LEVEL_CRITICAL;
	if (!strcmp(name, "warning"))
		return G_LOG_LEVEL_WARNING;
	return !strcmp(name, "debug") ? G_LOG_LEVEL_DEBUG : G_LOG_LEVEL_INFO;
}

static enum bb_exit exit_code(int rc)
{
	if (rc < 0)
		return BB_EXIT_START;
	return rc ? BB_EXIT_INTERRUPTED : BB_EXIT_OK;
}

static void log_start(const struct bb_settings *settings)
{
	char *json = bb_settings_json(settings);

	bb_log_event(BB_LOG_MAIN, G_LOG_LEVEL_INFO, NULL, "start",
		     "version=%s listen=%s:%u operators=%s:%u", BB_VERSION,
		     settings->listen, settings->port, settings->admin_listen,
		     settings->admin_port);
	bb_log_debug(BB_LOG_MAIN, "settings: %s", json);
	free(json);
}

enum bb_exit bb_daemon_run(const struct bb_settings *settings,
			   const struct bb_dialect *dialect,
			   const struct bb_feed *feed)
{
	enum bb_exit rc = BB_EXIT_START;
	struct bb_error err;
	struct bb_node *n;

	/* Writing to a closed socket or pipe must not end the process. */
	signal(SIGPIPE, SIG_IGN);
	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
	bb_log_init(settings->host, parse_level(settings->log_level));
	curl_global_init(CURL_GLOBAL_ALL);
	log_start(settings);
	n = bb_node_new(settings);
	if (dialect)
		bb_node_set_dialect(n, dialect);
	if (feed)
		bb_node_set_feed(n, feed);
	if (bb_node_init(n, &err))
		bb_log(BB_LOG_MAIN, G_LOG_LEVEL_CRITICAL, NULL,
		       "cannot start the node; exiting: %s", err.message);
	else
		rc = exit_code(bb_node_run(n));
	bb_node_delete(n);
	curl_global_cleanup();
	return rc;
}

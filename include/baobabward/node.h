/*
 * A node: the process of the fleet on one host.
 *
 * Order of calls: bb_node_new(), bb_node_init(), bb_node_run(), which returns
 * after a graceful shutdown, bb_node_delete(). The thread that calls
 * bb_node_run() is the control thread.
 */
#ifndef BAOBABWARD_NODE_H
#define BAOBABWARD_NODE_H

#include <glib.h>
#include <stdint.h>

#include "baobabward/config.h"
#include "baobabward/dialect.h"
#include "baobabward/error.h"
#include "baobabward/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum bb_node_state - life of a node.
 * @BB_NODE_NEW: not initialized
 * @BB_NODE_RUNNING: serves requests
 * @BB_NODE_DRAINING: accepts no new connections, finishes its work
 * @BB_NODE_STOPPED: finished
 */
enum bb_node_state {
	BB_NODE_NEW,
	BB_NODE_RUNNING,
	BB_NODE_DRAINING,
	BB_NODE_STOPPED,
	BB_NODE_STATE_COUNT
};

extern const char *const bb_node_state_string[];

struct bb_node;

/**
 * bb_feed_accept_fn() - takes over a configuration from a feed.
 * @node: of struct bb_feed_target
 * @c: newer than the ones before by version, or by revision
 */
typedef void bb_feed_accept_fn(void *node, struct bb_config *c);

/**
 * struct bb_feed_target - where a feed delivers, on the control thread.
 * @context: main context of the control thread
 * @accept: takes a configuration
 * @node: passed to @accept
 */
struct bb_feed_target {
	GMainContext *context;
	bb_feed_accept_fn *accept;
	void *node;
};

/**
 * struct bb_feed - delivers configurations whose hosts and backend servers are
 * discovered, in place of a file or the configuration service.
 * @start: begin to deliver; returns 0, or -1 with @err set
 * @stop: deliver no more
 * @data: passed to both
 *
 * The feed's reads are linearizable: what it delivers is in force at once, and
 * the nodes that a group's ranking names first among the live ones hold it.
 */
struct bb_feed {
	int (*start)(void *data, const struct bb_feed_target *to,
		     struct bb_error *err);
	void (*stop)(void *data);
	void *data;
};

/**
 * bb_node_new() - create a node.
 * @settings: must stay valid until bb_node_delete()
 */
struct bb_node *bb_node_new(const struct bb_settings *settings);

/**
 * bb_node_set_dialect() - use other names of headers; before bb_node_init().
 * @n: node
 * @d: must stay valid until bb_node_delete()
 */
void bb_node_set_dialect(struct bb_node *n, const struct bb_dialect *d);

/**
 * bb_node_set_feed() - get the configuration from a feed; before
 * bb_node_init().
 * @n: node
 * @f: copied
 */
void bb_node_set_feed(struct bb_node *n, const struct bb_feed *f);

/**
 * bb_node_init() - read the configuration, bind all ports, start threads.
 * @n: node
 * @err: set on failure; the node can only be deleted then
 *
 * Return: 0, or -1.
 */
int bb_node_init(struct bb_node *n, struct bb_error *err);

/**
 * bb_node_run() - serve until SIGTERM or SIGINT, then shut down gracefully.
 * @n: initialized node
 *
 * A second signal, or the grace limit of the settings, answers what is left
 * with accurate verdicts and ends the shutdown.
 *
 * Return: 0 if no request was interrupted, 1 if some were, -1 if the node could
 * not start with its first configuration.
 */
int bb_node_run(struct bb_node *n);

/**
 * bb_node_port() - port for callers; valid after bb_node_init().
 */
uint16_t bb_node_port(const struct bb_node *n);

/**
 * bb_node_delete() - free a node.
 * @n: node, may be NULL
 */
void bb_node_delete(struct bb_node *n);

#ifdef __cplusplus
}
#endif
#endif

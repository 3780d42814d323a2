/*
 * A node: the proxy process that runs on each host of the fleet.
 *
 * Order of calls: bb_node_new(), bb_node_init(), bb_node_run(), which returns
 * after a graceful shutdown, and bb_node_delete(). The thread that calls
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
 * enum bb_node_state - life cycle of a node.
 * @BB_NODE_NEW: does not accept callers yet
 * @BB_NODE_RUNNING: accepts callers and serves their requests
 * @BB_NODE_DRAINING: accepts no new connections, completes open requests
 * @BB_NODE_STOPPED: takes no more requests; bb_node_run() is about to return
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
struct bb_relay;

/**
 * bb_feed_accept_fn() - take over a configuration from a feed.
 * @node: of struct bb_feed_target
 * @c: owned by the node from now on; has a higher version, or a higher
 *     revision, than those delivered before
 */
typedef void bb_feed_accept_fn(void *node, struct bb_config *c);

/**
 * struct bb_feed_target - receiver of the configurations of a feed.
 * @context: main context of the control thread, on which the feed runs
 * @accept: called on the control thread for each configuration
 * @relay: passes changes of the registry between nodes; the feed notes there
 *         what it reads, and may read from a peer
 * @node: passed to @accept
 */
struct bb_feed_target {
	GMainContext *context;
	bb_feed_accept_fn *accept;
	struct bb_relay *relay;
	void *node;
};

/**
 * struct bb_feed - source of configurations from service discovery, used in
 * place of a file or the configuration service.
 * @start: begins to deliver; returns 0, or -1 with @err set
 * @stop: no configuration is delivered after it returns
 * @newer_version: another node has a newer version than this one; called again
 *                 from time to time while that is so; NULL if of no use
 * @data: passed to all of them
 *
 * The feed's reads are linearizable: a configuration that it delivers is in
 * force at once, and each group is held by the nodes that the group's ranking
 * names first among the live ones.
 */
struct bb_feed {
	int (*start)(void *data, const struct bb_feed_target *to,
		     struct bb_error *err);
	void (*stop)(void *data);
	void (*newer_version)(void *data, uint64_t version);
	void *data;
};

/**
 * bb_node_new() - create a node.
 * @settings: must stay valid until bb_node_delete()
 */
struct bb_node *bb_node_new(const struct bb_settings *settings);

/**
 * bb_node_set_dialect() - replace the default names of HTTP headers.
 * @n: node that was not passed to bb_node_init() yet
 * @d: must stay valid until bb_node_delete()
 */
void bb_node_set_dialect(struct bb_node *n, const struct bb_dialect *d);

/**
 * bb_node_set_feed() - get the configuration from a feed.
 * @n: node that was not passed to bb_node_init() yet
 * @f: copied
 */
void bb_node_set_feed(struct bb_node *n, const struct bb_feed *f);

/**
 * bb_node_init() - start the configuration source, traces and the operator
 * listener.
 * @n: node
 * @err: set on failure; the node can only be deleted then
 *
 * The ports for callers and other nodes are opened in bb_node_run(), when the
 * configuration is known.
 *
 * Return: 0, or -1.
 */
int bb_node_init(struct bb_node *n, struct bb_error *err);

/**
 * bb_node_run() - serve until SIGTERM or SIGINT, then shut down gracefully.
 * @n: initialized node
 *
 * A second signal, or the end of the grace period of the settings, ends the
 * shutdown: requests in progress are answered with an accurate verdict.
 *
 * Return: 0 if the shutdown completed in time, 1 if a second signal or the end
 * of the grace period cut it short, -1 if the node could not start with its
 * first configuration.
 */
int bb_node_run(struct bb_node *n);

/**
 * bb_node_port() - port for callers, valid while the node is running.
 */
uint16_t bb_node_port(const struct bb_node *n);

/**
 * bb_node_delete() - stop all threads and free a node.
 * @n: node, may be NULL
 */
void bb_node_delete(struct bb_node *n);

#ifdef __cplusplus
}
#endif
#endif

/*
 * The control thread of a node: configuration, membership, leases, token draws,
 * idempotency records, health decisions and ejection permits.
 *
 * Functions are called on the control thread only, except those that are
 * marked "any thread".
 */
#ifndef BB_NODE_CONTROL_H
#define BB_NODE_CONTROL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "baobabward/error.h"
#include "baobabward/health.h"
#include "baobabward/limit.h"
#include "baobabward/node.h"
#include "baobabward/settings.h"
#include "baobabward/wire.h"
#include "libnode/snapshot.h"

struct bb_control;

/**
 * struct bb_record_query - a query to the idempotency record store, and its
 *			    reply.
 * @call: sequence number of the call that the query is made for
 * @m: the query; its outcome bytes point into @body and @content_type
 * @state: state of the record according to the reply
 * @outcome: stored outcome when @state is BB_RECORD_DONE
 * @body: body of the outcome, of the query or of the reply
 * @content_type: content type of the outcome
 *
 * Owned by one thread at a time; free with bb_record_query_delete().
 */
struct bb_record_query {
	uint64_t call;
	struct bb_message_record m;
	enum bb_record_state state;
	struct bb_outcome outcome;
	char *body;
	char *content_type;
};

void bb_record_query_delete(struct bb_record_query *q);

/**
 * struct bb_backend_health - health of a backend server of this host, as far as
 *			      it limits the requests sent to it.
 * @backend: name of the backend server
 * @admit: requests may be sent to it
 * @avoid_until_us: monotonic time until which entry nodes should prefer other
 *		    backend servers, 0 for none
 * @weight: share of its slots that may be used, 0 to 1
 */
struct bb_backend_health {
	char *backend;
	bool admit;
	int64_t avoid_until_us;
	double weight;
};

/**
 * struct bb_control_options - options and callbacks of the control thread.
 * @settings: of the daemon
 * @feed: delivers the configuration, NULL to read it as the settings say
 * @incarnation: of this node
 * @context: main context of the control thread
 * @snapshots: where accepted configurations are published
 * @config_changed: a newer configuration is in force, or the candidate of a
 *              starting node
 * @config_in_force: the first configuration is in force; the node may serve
 * @tokens_arrived: tokens were granted; calls that wait for one may try again
 * @record_answered: a query ended, with or without a reply; the callee takes
 *		     ownership of it
 * @health_changed: health of a backend server changed; the callee takes
 *		    ownership
 * @leaving_changed: another set of configured hosts is leaving by order of the
 *		     platform; the callee takes ownership of the set of names
 * @data: passed to the callbacks, which run on the control thread
 */
struct bb_control_options {
	const struct bb_settings *settings;
	const struct bb_feed *feed;
	uint64_t incarnation;
	GMainContext *context;
	struct bb_snapshots *snapshots;
	void (*config_changed)(void *data, struct bb_snapshot *snapshot);
	void (*config_in_force)(void *data);
	void (*tokens_arrived)(void *data);
	void (*record_answered)(void *data, struct bb_record_query *q);
	void (*health_changed)(void *data, struct bb_backend_health *g);
	void (*leaving_changed)(void *data, GHashTable *hosts);
	void *data;
};

/**
 * bb_control_new() - create the control thread's state and start reading the
 *		      configuration.
 */
struct bb_control *bb_control_new(const struct bb_control_options *o,
				  struct bb_error *err);

/**
 * bb_control_start() - bind the control port and join the fleet.
 * @c: control thread that has a configuration
 * @err: set on failure
 */
int bb_control_start(struct bb_control *c, struct bb_error *err);

/**
 * bb_control_config_in_force() - whether a configuration is in force; any
 *				  thread.
 */
bool bb_control_config_in_force(const struct bb_control *c);

/**
 * bb_control_config_current() - whether the configuration is known to be
 *				 current; any thread.
 */
bool bb_control_config_current(const struct bb_control *c);

/**
 * bb_control_spend() - spend a token of a client account; any thread.
 *
 * On BB_SPEND_WAIT a draw is started; the caller tries again after
 * @tokens_arrived.
 */
enum bb_spend_result bb_control_spend(struct bb_control *c, const char *account,
				      bool waited, int64_t now_us,
				      int64_t *retry_us);

/**
 * bb_control_cancel_wait() - a call no longer waits for a token; any thread.
 */
void bb_control_cancel_wait(struct bb_control *c, const char *account);

/**
 * bb_control_may_use_reserve() - see bb_drawer_may_use_reserve(); safe from any
 * thread.
 */
bool bb_control_may_use_reserve(struct bb_control *c, const char *account,
				int64_t now_us);

/**
 * bb_control_query_record() - send a query to the holder of the lease group of
 *			       its idempotency key; any thread.
 *
 * Return: false when the queue is full; the caller keeps the query.
 */
bool bb_control_query_record(struct bb_control *c, struct bb_record_query *q);

/**
 * struct bb_observation - outcome of a request to a backend server.
 * @backend: name of the backend server
 * @started_ms: when the process started to which the request was sent, by the
 *		configuration
 * @outcome: outcome; the control thread fills in the handle of the backend
 *	     server
 */
struct bb_observation {
	char *backend;
	double started_ms;
	struct bb_health_outcome outcome;
};

/**
 * bb_control_observe() - report an outcome and pass its ownership; any thread.
 */
void bb_control_observe(struct bb_control *c, struct bb_observation *o);

/**
 * bb_control_stop() - begin to hand over records and to return leases and
 *		       tokens before the node stops.
 */
void bb_control_stop(struct bb_control *c);

/**
 * bb_control_stopped() - whether everything was handed over or the time for it
 *			  has passed.
 */
bool bb_control_stopped(struct bb_control *c);

/**
 * bb_control_status() - state of the control thread for operators; any thread.
 *
 * Return: JSON text that the caller frees with free().
 */
char *bb_control_status(struct bb_control *c);

void bb_control_delete(struct bb_control *c);

#endif

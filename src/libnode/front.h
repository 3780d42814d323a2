/*
 * Front end: the HTTP server for callers, based on libmicrohttpd. It parses
 * requests, finds their route and client account, limits the size of the body,
 * and passes each admitted request as a call to the traffic thread.
 *
 * The key is checked on every request, not once per connection, so that a
 * revoked key stops working on connections that are already open.
 */
#ifndef BB_NODE_FRONT_H
#define BB_NODE_FRONT_H

#include <stdbool.h>
#include <stdint.h>

#include "baobabward/dialect.h"
#include "baobabward/error.h"
#include "libnode/call.h"
#include "libnode/request_history.h"
#include "libnode/snapshot.h"

struct bb_front;

/**
 * struct bb_front_options - options of a front.
 * @address: IP address to listen on
 * @port: TCP port, 0 for one that the system chooses
 * @threads: number of threads that serve connections
 * @connection_limit: maximum number of connections of callers
 * @memory: accounting of the memory of bodies, whose @give_way is
 *          bb_front_give_way(); NULL for none
 * @idle_timeout_s: an idle or stalled connection is closed after this time
 * @dialect: names of headers, NULL for the default
 * @local_service: service whose backend server is beside this node, NULL for
 *                 none
 * @incarnation: incarnation of this node, part of request identifiers
 * @snapshots: configuration in force
 * @history: records refused and failed requests, may be NULL
 * @config_current: whether the configuration is known to be current; called on
 *                  any thread
 * @submit: takes over a call, whose connection is suspended, on any thread;
 *          returns false if the queue is full, and the front keeps the call
 * @data: passed to @config_current and @submit
 */
struct bb_front_options {
	const char *address;
	uint16_t port;
	unsigned int threads;
	unsigned int connection_limit;
	struct bb_body_memory *memory;
	unsigned int idle_timeout_s;
	const struct bb_dialect *dialect;
	const char *local_service;
	uint64_t incarnation;
	struct bb_snapshots *snapshots;
	struct bb_request_history *history;
	bool (*config_current)(void *data);
	bool (*submit)(void *data, struct bb_call *c);
	void *data;
};

/**
 * bb_front_give_way() - free the memory of a body that gives way.
 * @data: not used
 * @c: claim of a call
 *
 * A request body is freed, and the request refused as "not run" when its caller
 * goes on or ends it. The connection of a response is closed.
 */
void bb_front_give_way(void *data, struct bb_body_claim *c);

/**
 * bb_front_has_input() - whether bytes of a request body wait to be read.
 * @data: not used
 * @c: claim of a call
 */
bool bb_front_has_input(void *data, struct bb_body_claim *c);

/**
 * bb_front_stalled() - close the connection of a caller that was answered before its
 * body was in, and sends no more.
 * @data: not used
 * @c: claim of a call
 */
void bb_front_stalled(void *data, struct bb_body_claim *c);

/**
 * bb_front_new() - create a front; it does not listen yet.
 */
struct bb_front *bb_front_new(const struct bb_front_options *o);

/**
 * bb_front_init() - start to listen.
 */
int bb_front_init(struct bb_front *f, struct bb_error *err);

/**
 * bb_front_port() - port that the front listens on.
 */
uint16_t bb_front_port(const struct bb_front *f);

/**
 * bb_front_drain() - accept no more connections, and close each one after the
 * response to its next request.
 *
 * Return: true if connections that waited in the listening socket's backlog
 * were accepted; bb_front_requests() does not count their requests yet.
 */
bool bb_front_drain(struct bb_front *f);

/**
 * bb_front_refuse_requests() - from now on, refuse requests with the reason
 * "stopping" and the verdict "not run".
 *
 * Ends a drain that takes too long because callers keep sending requests on
 * connections that they opened before it.
 */
void bb_front_refuse_requests(struct bb_front *f);

/**
 * bb_front_connections() - number of open connections.
 */
unsigned int bb_front_connections(struct bb_front *f);

/**
 * bb_front_check_callers() - close connections whose callers are gone and that wait
 * for the idle time-out, see callers.h. To be called from time to time.
 */
void bb_front_check_callers(struct bb_front *f);

/**
 * bb_front_requests() - number of requests received and not yet answered.
 */
unsigned int bb_front_requests(struct bb_front *f);

/**
 * bb_front_suspended() - number of calls that the traffic thread owns.
 */
unsigned int bb_front_suspended(struct bb_front *f);

/**
 * bb_front_finish() - stop all threads; the traffic thread may own no call.
 */
void bb_front_finish(struct bb_front *f);

/**
 * bb_front_delete() - free a front.
 */
void bb_front_delete(struct bb_front *f);

#endif

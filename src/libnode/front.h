/*
 * Callers' side: HTTP by libmicrohttpd. Parses, finds route and client
 * account, bounds the body, and hands the call to the traffic thread.
 *
 * The key is checked on every request, not once a connection, so that a
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
 * struct bb_front_options - what a front needs.
 * @address: IP number to listen on
 * @port: TCP port, 0 for one that the system chooses
 * @threads: number of threads
 * @connection_limit: most connections of callers
 * @idle_timeout_s: an idle or stalled connection is closed after this time
 * @dialect: names of headers, NULL for the default
 * @local_service: service whose backend server is beside this node, NULL for
 *                 none
 * @incarnation: of this node, part of request identifiers
 * @snapshots: configuration in force
 * @history: notes refused and failed requests, may be NULL
 * @config_current: whether the configuration is known to be current; any thread
 * @submit: takes over the call, which is suspended; false if it has no room
 * @data: passed to @config_current and @submit
 */
struct bb_front_options {
	const char *address;
	uint16_t port;
	unsigned int threads;
	unsigned int connection_limit;
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
 * bb_front_drain() - close connections between requests and accept no more.
 *
 * Return: true if connections that waited on the listening socket were taken
 * over; their requests are not counted yet.
 */
bool bb_front_drain(struct bb_front *f);

/**
 * bb_front_refuse_requests() - refuse requests from now on as stopping, "not run".
 *
 * For a drain that does not end, because callers keep sending requests on
 * connections that were open before it.
 */
void bb_front_refuse_requests(struct bb_front *f);

/**
 * bb_front_connections() - number of open connections.
 */
unsigned int bb_front_connections(struct bb_front *f);

/**
 * bb_front_requests() - number of requests begun and not yet answered.
 */
unsigned int bb_front_requests(struct bb_front *f);

/**
 * bb_front_suspended() - number of calls that the traffic thread has.
 */
unsigned int bb_front_suspended(struct bb_front *f);

/**
 * bb_front_finish() - stop; no call may be with the traffic thread.
 */
void bb_front_finish(struct bb_front *f);

/**
 * bb_front_delete() - free a front.
 */
void bb_front_delete(struct bb_front *f);

#endif

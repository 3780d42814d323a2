/*
 * The traffic thread: data messages of other nodes, requests to backend
 * servers, and the deadlines of both.
 */
#ifndef BB_NODE_TRAFFIC_H
#define BB_NODE_TRAFFIC_H

#include <stdbool.h>
#include <stdint.h>

#include "baobabward/dialect.h"
#include "baobabward/error.h"
#include "baobabward/settings.h"
#include "libnode/call.h"
#include "libnode/control.h"
#include "libnode/snapshot.h"

struct bb_traffic;

/**
 * struct bb_traffic_options - what the traffic thread needs.
 * @incarnation: of this node
 * @host: name of this host
 * @address: IP number to bind to
 * @port: TCP port to bind to
 * @settings: of the daemon
 * @dialect: names of headers, NULL for the default
 * @control: control thread; must outlive the traffic thread
 * @tracer: takes spans, NULL for none
 * @finished: gives a call back; called on the traffic thread
 * @data: passed to @finished
 */
struct bb_traffic_options {
	uint64_t incarnation;
	const char *host;
	const char *address;
	uint16_t port;
	const struct bb_settings *settings;
	const struct bb_dialect *dialect;
	struct bb_control *control;
	struct bb_tracer *tracer;
	void (*finished)(void *data, struct bb_call *c);
	void *data;
};

/**
 * bb_traffic_new() - bind and start the thread.
 * @o: options
 * @snapshot: first configuration
 * @err: set on failure
 */
struct bb_traffic *bb_traffic_new(const struct bb_traffic_options *o,
				  struct bb_snapshot *snapshot,
				  struct bb_error *err);

/**
 * bb_traffic_submit() - hand over a call; any thread.
 *
 * Return: false when there is no room; the caller keeps the call.
 */
bool bb_traffic_submit(struct bb_traffic *t, struct bb_call *c);

/**
 * bb_traffic_configure() - use a newer snapshot; any thread.
 */
void bb_traffic_configure(struct bb_traffic *t, struct bb_snapshot *snapshot);

/**
 * bb_traffic_tokens_arrived() - tokens arrived; any thread.
 */
void bb_traffic_tokens_arrived(struct bb_traffic *t);

/**
 * bb_traffic_record_answered() - answer of the record store, taken over; any thread.
 */
void bb_traffic_record_answered(struct bb_traffic *t,
				struct bb_record_query *q);

/**
 * bb_traffic_health_changed() - health of a backend server, taken over; any thread.
 */
void bb_traffic_health_changed(struct bb_traffic *t,
			       struct bb_backend_health *g);

/**
 * bb_traffic_leaving_changed() - hosts that the platform takes away; any thread.
 * @t: traffic thread
 * @hosts: set of names, taken over
 */
void bb_traffic_leaving_changed(struct bb_traffic *t, GHashTable *hosts);

/**
 * bb_traffic_drain() - hand back queued work and refuse new work of other
 * nodes; any thread.
 */
void bb_traffic_drain(struct bb_traffic *t);

/**
 * bb_traffic_abort() - answer all calls now; any thread.
 */
void bb_traffic_abort(struct bb_traffic *t);

/**
 * bb_traffic_in_progress() - calls and requests in progress; any thread.
 */
unsigned int bb_traffic_in_progress(const struct bb_traffic *t);

/**
 * bb_traffic_delete() - stop the thread and free.
 */
void bb_traffic_delete(struct bb_traffic *t);

#endif

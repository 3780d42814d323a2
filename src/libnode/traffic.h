/*
 * The traffic thread: exchanges data messages with other nodes, sends requests
 * to backend servers and enforces the deadlines of both. The entry side and the
 * adjacent side of the node run on it alone; other threads submit calls and
 * commands through queues.
 */
#ifndef BB_NODE_TRAFFIC_H
#define BB_NODE_TRAFFIC_H

#include <stdbool.h>
#include <stdint.h>

#include "baobabward/body_memory.h"
#include "baobabward/dialect.h"
#include "baobabward/error.h"
#include "baobabward/settings.h"
#include "libnode/call.h"
#include "libnode/control.h"
#include "libnode/snapshot.h"

struct bb_traffic;

/**
 * struct bb_traffic_options - configuration of the traffic thread.
 * @incarnation: incarnation of this node
 * @host: name of this host
 * @address: IP address to bind to
 * @port: TCP port to bind to
 * @settings: settings of the daemon
 * @dialect: names of headers, NULL for the default
 * @control: control thread; must outlive the traffic thread
 * @tracer: receives spans, NULL for none
 * @memory: accounting of the memory of bodies, NULL for none
 * @finished: called on the traffic thread when a call has its answer; returns
 *            ownership of the call
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
	struct bb_body_memory *memory;
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
 * bb_traffic_submit() - start a call; any thread.
 * @t: traffic thread
 * @c: call; takes ownership on success
 *
 * Return: false if too many calls are waiting; the caller keeps the call.
 */
bool bb_traffic_submit(struct bb_traffic *t, struct bb_call *c);

/**
 * bb_traffic_configure() - use a newer snapshot; any thread.
 */
void bb_traffic_configure(struct bb_traffic *t, struct bb_snapshot *snapshot);

/**
 * bb_traffic_tokens_arrived() - tokens of the rate limit arrived; any thread.
 */
void bb_traffic_tokens_arrived(struct bb_traffic *t);

/**
 * bb_traffic_record_answered() - the record store answered; any thread.
 * @t: traffic thread
 * @q: the answered query; takes ownership
 */
void bb_traffic_record_answered(struct bb_traffic *t,
				struct bb_record_query *q);

/**
 * bb_traffic_health_changed() - the health of a backend server changed; any
 * thread.
 * @t: traffic thread
 * @h: new health; takes ownership
 */
void bb_traffic_health_changed(struct bb_traffic *t,
			       struct bb_backend_health *h);

/**
 * bb_traffic_leaving_changed() - the set of hosts that the platform is removing
 * changed; any thread.
 * @t: traffic thread
 * @hosts: set of host names; takes ownership
 */
void bb_traffic_leaving_changed(struct bb_traffic *t, GHashTable *hosts);

/**
 * bb_traffic_drain() - refuse queued requests and new requests of other nodes;
 * any thread.
 */
void bb_traffic_drain(struct bb_traffic *t);

/**
 * bb_traffic_abort() - answer all calls now, each with the verdict known so
 * far; any thread.
 */
void bb_traffic_abort(struct bb_traffic *t);

/**
 * bb_traffic_in_progress() - number of calls and requests in progress; any
 * thread. Updated every 20 ms.
 */
unsigned int bb_traffic_in_progress(const struct bb_traffic *t);

/**
 * bb_traffic_delete() - stop the thread and free.
 */
void bb_traffic_delete(struct bb_traffic *t);

#endif

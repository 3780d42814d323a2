/*
 * The adjacent node's side of a request: the only sender of requests to the
 * backend servers beside this node. Runs on the traffic thread.
 *
 * Refuses requests that are addressed to another incarnation or whose deadline
 * is over, and ignores a second copy of a message with the same id. Others wait
 * for a slot of their backend server and are sent by the executor.
 */
#ifndef BB_NODE_ADJACENT_H
#define BB_NODE_ADJACENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "baobabward/body_memory.h"
#include "baobabward/dialect.h"
#include "baobabward/transport.h"
#include "baobabward/wire.h"
#include "libnode/control.h"
#include "libnode/notices.h"
#include "libnode/snapshot.h"

/**
 * struct bb_reply_address - destination of a result.
 * @local: this node is also the entry node
 * @sender: sender of the request when not @local
 */
struct bb_reply_address {
	bool local;
	struct bb_sender sender;
};

struct bb_adjacent;

/**
 * struct bb_adjacent_options - configuration of the adjacent side.
 * @context: main context of the traffic thread
 * @incarnation: incarnation of this node
 * @control: control thread, which receives the outcomes of requests; NULL for
 *           none
 * @reply: sends a RESULT or a BODY_READ
 * @state_changed: the breaker of a backend server opened or closed, may be NULL
 * @data: passed to @reply and @state_changed
 * @tracer: receives spans, NULL for none
 * @dialect: names of headers, NULL for the default
 * @notices: what backend servers said of themselves, NULL if they say nothing
 * @breaker: redirect requests away from backend servers whose circuit breaker
 *           is open
 * @memory: accounting of the memory of bodies, NULL for none
 * @booking_wait_us: longest wait of a non-idempotent request in the queue
 * @attempt_percent: percentage of the time left that entry nodes give an attempt
 *                   of an idempotent request, 0 for all of it
 */
struct bb_adjacent_options {
	GMainContext *context;
	uint64_t incarnation;
	struct bb_control *control;
	void (*reply)(void *data, const struct bb_reply_address *to,
		      const struct bb_message *m);
	void (*state_changed)(void *data);
	void *data;
	struct bb_tracer *tracer;
	const struct bb_dialect *dialect;
	struct bb_notices *notices;
	bool breaker;
	struct bb_body_memory *memory;
	int64_t booking_wait_us;
	uint32_t attempt_percent;
};

struct bb_adjacent *bb_adjacent_new(const struct bb_adjacent_options *o,
				    struct bb_error *err);

/**
 * bb_adjacent_configure() - use the backend servers of a newer snapshot.
 */
void bb_adjacent_configure(struct bb_adjacent *a, struct bb_snapshot *snapshot);

/**
 * bb_adjacent_execute() - run a request, or refuse it with a RESULT.
 * @a: adjacent side
 * @to: destination of the result
 * @received: message that holds the memory of @x; takes ownership. NULL if the
 *            caller keeps @x valid until the result
 * @x: the request
 */
void bb_adjacent_execute(struct bb_adjacent *a,
			 const struct bb_reply_address *to,
			 struct bb_received_message *received,
			 const struct bb_message_execute *x);

/**
 * bb_adjacent_execute_large() - as bb_adjacent_execute(), for a request whose body
 * has to be read from its entry node first.
 *
 * Memory for all of the body is claimed before the first part is asked for.
 */
void bb_adjacent_execute_large(struct bb_adjacent *a,
			       const struct bb_reply_address *to,
			       struct bb_received_message *received,
			       const struct bb_message_execute_large *x);

/**
 * bb_adjacent_body_part() - take in a part of a body that was asked for.
 * @a: adjacent side
 * @from: sender of the part
 * @x: the part
 */
void bb_adjacent_body_part(struct bb_adjacent *a, const struct bb_sender *from,
			   const struct bb_message_body_part *x);

/**
 * bb_adjacent_cancel() - stop a request and answer with a RESULT at once.
 */
void bb_adjacent_cancel(struct bb_adjacent *a,
			const struct bb_reply_address *to,
			const struct bb_message_cancel *x);

/**
 * bb_adjacent_health_changed() - apply a change of the health of a backend
 * server.
 */
void bb_adjacent_health_changed(struct bb_adjacent *a,
				const struct bb_backend_health *h);

/**
 * bb_adjacent_set_leaving() - set whether the platform is removing this host.
 *
 * While it does, queued and new requests are refused and running ones finish.
 */
void bb_adjacent_set_leaving(struct bb_adjacent *a, bool leaving);

/**
 * bb_adjacent_drain() - refuse queued and new requests; running ones finish.
 */
void bb_adjacent_drain(struct bb_adjacent *a);

/**
 * bb_adjacent_reports() - load of the backend servers beside this node.
 * @a: adjacent side
 * @trials: also ask to be avoided while a trial of a circuit breaker runs
 * @reports: filled in; names are valid until the next configuration
 * @max: room in @reports
 *
 * Return: number of @reports.
 */
size_t bb_adjacent_reports(const struct bb_adjacent *a, bool trials,
			   struct bb_backend_report *reports, size_t max);

/**
 * bb_adjacent_load() - load of a backend server beside this node, as it is
 * reported to other nodes.
 * @a: adjacent side
 * @backend: name of the backend server
 * @load: set
 *
 * Return: false if it is not beside this node.
 */
bool bb_adjacent_load(const struct bb_adjacent *a, const char *backend,
		      struct bb_load *load);

/**
 * bb_adjacent_jobs() - number of requests queued or running.
 */
unsigned int bb_adjacent_jobs(const struct bb_adjacent *a);

void bb_adjacent_delete(struct bb_adjacent *a);

#endif

/*
 * The adjacent node's side of a request: the only sender of work to the
 * backend servers beside this node.
 *
 * Refuses what is bound to another incarnation, came after its time, or came
 * before with the same id; queues the rest for a slot and sends it through
 * the executor. Runs on the traffic thread.
 */
#ifndef BB_NODE_ADJACENT_H
#define BB_NODE_ADJACENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "baobabward/dialect.h"
#include "baobabward/transport.h"
#include "baobabward/wire.h"
#include "libnode/control.h"
#include "libnode/snapshot.h"

/**
 * struct bb_reply_to - where a result goes.
 * @local: this node is also the entry node
 * @sender: sender of the request when not @local
 */
struct bb_reply_to {
	bool local;
	struct bb_sender sender;
};

struct bb_adjacent;

/**
 * struct bb_adjacent_options - what the adjacent side needs.
 * @context: main context of the traffic thread
 * @incarnation: of this node
 * @control: gets the outcomes of requests
 * @reply: sends a RESULT
 * @data: passed to @reply
 * @tracer: takes spans, NULL for none
 * @dialect: names of headers, NULL for the default
 * @breaker: redirect requests from backend servers that have just failed
 * @booking_wait_us: longest wait of a non-idempotent request in the queue
 */
struct bb_adjacent_options {
	GMainContext *context;
	uint64_t incarnation;
	struct bb_control *control;
	void (*reply)(void *data, const struct bb_reply_to *to,
		      const struct bb_message *result);
	void *data;
	struct bb_tracer *tracer;
	const struct bb_dialect *dialect;
	bool breaker;
	int64_t booking_wait_us;
};

struct bb_adjacent *bb_adjacent_new(const struct bb_adjacent_options *o,
				    struct bb_error *err);

/**
 * bb_adjacent_configure() - take over the backend servers of a snapshot.
 */
void bb_adjacent_configure(struct bb_adjacent *a, struct bb_snapshot *snapshot);

/**
 * bb_adjacent_execute() - run a request, or refuse it with a RESULT.
 * @a: adjacent side
 * @to: where the result goes
 * @received: memory behind @x, taken over; NULL when the caller keeps @x
 *            valid until the result
 * @x: the request
 */
void bb_adjacent_execute(struct bb_adjacent *a, const struct bb_reply_to *to,
			 struct bb_received_message *received,
			 const struct bb_message_execute *x);

/**
 * bb_adjacent_cancel() - stop a request and answer with a RESULT at once.
 */
void bb_adjacent_cancel(struct bb_adjacent *a, const struct bb_reply_to *to,
			const struct bb_message_cancel *x);

/**
 * bb_adjacent_health_changed() - apply what health says of a backend server.
 */
void bb_adjacent_health_changed(struct bb_adjacent *a,
				const struct bb_backend_health *g);

/**
 * bb_adjacent_set_leaving() - the platform takes this host away, or no more.
 *
 * While it does, queued and new work is refused and running work ends.
 */
void bb_adjacent_set_leaving(struct bb_adjacent *a, bool leaving);

/**
 * bb_adjacent_drain() - hand back what is queued; refuse new work.
 */
void bb_adjacent_drain(struct bb_adjacent *a);

/**
 * bb_adjacent_jobs() - number of requests queued or running.
 */
unsigned int bb_adjacent_jobs(const struct bb_adjacent *a);

void bb_adjacent_delete(struct bb_adjacent *a);

#endif

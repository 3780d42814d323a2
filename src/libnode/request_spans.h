/*
 * Spans of a request: at its entry node one for the whole request and one for
 * each attempt, at the adjacent node one for the queue and one for the
 * exchange with the backend server. All functions do nothing when the trace
 * is not recorded.
 */
#ifndef BB_NODE_REQUEST_SPANS_H
#define BB_NODE_REQUEST_SPANS_H

#include "baobabward/trace.h"
#include "baobabward/wire.h"
#include "libnode/call.h"

/**
 * struct bb_entry_spans - spans of a call.
 * @server: the whole request
 * @attempt: the attempt in progress
 * @context: parent of the attempts
 * @traceparent: for the attempt in progress, empty for none
 */
struct bb_entry_spans {
	struct bb_tracer *tracer;
	struct bb_span *server;
	struct bb_span *attempt;
	struct bb_trace_context context;
	bool known;
	char traceparent[BB_TRACEPARENT_SIZE];
};

/**
 * struct bb_adjacent_spans - spans of a request beside its backend server.
 * @queue: wait for a slot
 * @client: exchange with the backend server
 * @context: the attempt
 * @traceparent: for the backend server, empty for none
 */
struct bb_adjacent_spans {
	struct bb_tracer *tracer;
	struct bb_span *queue;
	struct bb_span *client;
	struct bb_trace_context context;
	bool known;
	char traceparent[BB_TRACEPARENT_SIZE];
};

/**
 * bb_entry_spans_begin() - begin the span of a call.
 */
void bb_entry_spans_begin(struct bb_entry_spans *h, struct bb_tracer *tracer,
			  const struct bb_call *c);

/**
 * bb_entry_spans_begin_attempt() - begin the span of an attempt.
 * @h: spans of the call
 * @c: the call
 * @backend: name of the chosen backend server
 */
void bb_entry_spans_begin_attempt(struct bb_entry_spans *h,
				  const struct bb_call *c, const char *backend);

/**
 * bb_entry_spans_end_attempt() - end the span of the attempt, if there is one.
 */
void bb_entry_spans_end_attempt(struct bb_entry_spans *h,
				enum bb_verdict verdict, enum bb_reason reason,
				unsigned int status);

/**
 * bb_entry_spans_end() - end the spans of a call whose answer is set.
 */
void bb_entry_spans_end(struct bb_entry_spans *h, const struct bb_call *c);

/**
 * bb_adjacent_spans_begin() - begin the queue span of a request.
 */
void bb_adjacent_spans_begin(struct bb_adjacent_spans *h,
			     struct bb_tracer *tracer,
			     const struct bb_message_execute *x);

/**
 * bb_adjacent_spans_begin_exchange() - the request leaves the queue for its backend
 * server.
 * @h: spans of the request
 * @x: the request; its @backend may be gone, since at a node that is also the
 *     entry node it belongs to a snapshot that may have been replaced
 * @backend: name of the backend server
 *
 * Return: traceparent for the backend server, empty for none; lives as long
 * as @h.
 */
struct bb_bytes
bb_adjacent_spans_begin_exchange(struct bb_adjacent_spans *h,
				 const struct bb_message_execute *x,
				 const char *backend);

/**
 * bb_adjacent_spans_end() - end the span in progress, if there is one.
 */
void bb_adjacent_spans_end(struct bb_adjacent_spans *h, enum bb_verdict verdict,
			   enum bb_reason reason, unsigned int status);

#endif

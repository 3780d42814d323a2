/*
 * Trace spans of a request. The entry node records one for the whole request
 * and one for each attempt; the adjacent node records one for the time in the
 * queue and one for the exchange with the backend server. No span is
 * sent when the trace is not recorded.
 */
#ifndef BB_NODE_REQUEST_SPANS_H
#define BB_NODE_REQUEST_SPANS_H

#include "baobabward/trace.h"
#include "baobabward/wire.h"
#include "libnode/call.h"

/**
 * struct bb_entry_spans - spans of a call at its entry node.
 * @request: span of the whole request
 * @attempt: span of the current attempt
 * @context: parent of the attempts
 * @has_context: @context is valid
 * @traceparent: header for the current attempt, empty for none
 */
struct bb_entry_spans {
	struct bb_tracer *tracer;
	struct bb_span *request;
	struct bb_span *attempt;
	struct bb_trace_context context;
	bool has_context;
	char traceparent[BB_TRACEPARENT_SIZE];
};

/**
 * struct bb_adjacent_spans - spans of a request at its adjacent node.
 * @queue: span of the wait for a slot
 * @exchange: span of the exchange with the backend server
 * @context: the attempt, which is the parent of both
 * @has_context: @context is valid
 * @traceparent: header for the backend server, empty for none
 */
struct bb_adjacent_spans {
	struct bb_tracer *tracer;
	struct bb_span *queue;
	struct bb_span *exchange;
	struct bb_trace_context context;
	bool has_context;
	char traceparent[BB_TRACEPARENT_SIZE];
};

/**
 * bb_entry_spans_begin() - begin the span of a call.
 */
void bb_entry_spans_begin(struct bb_entry_spans *s, struct bb_tracer *tracer,
			  const struct bb_call *c);

/**
 * bb_entry_spans_begin_attempt() - begin the span of an attempt.
 * @s: spans of the call
 * @c: the call
 * @backend: name of the chosen backend server
 */
void bb_entry_spans_begin_attempt(struct bb_entry_spans *s,
				  const struct bb_call *c, const char *backend);

/**
 * bb_entry_spans_move_attempt() - the attempt is not sent to the backend server
 * that was chosen, but to another one.
 */
void bb_entry_spans_move_attempt(struct bb_entry_spans *s, const char *backend);

/**
 * bb_entry_spans_end_attempt() - end the span of the attempt, if there is one.
 */
void bb_entry_spans_end_attempt(struct bb_entry_spans *s,
				enum bb_verdict verdict, enum bb_reason reason,
				unsigned int status);

/**
 * bb_entry_spans_end() - end the spans of a call whose answer is set.
 */
void bb_entry_spans_end(struct bb_entry_spans *s, const struct bb_call *c);

/**
 * bb_adjacent_spans_begin() - begin the queue span of a request.
 */
void bb_adjacent_spans_begin(struct bb_adjacent_spans *s,
			     struct bb_tracer *tracer,
			     const struct bb_message_execute *x);

/**
 * bb_adjacent_spans_begin_exchange() - end the queue span and begin the span of
 * the exchange with the backend server.
 * @s: spans of the request
 * @x: the request; its @backend may be freed already, since at a node that is
 *     also the entry node it points into a snapshot that may have been replaced
 * @backend: name of the backend server
 *
 * Return: traceparent for the backend server, empty for none; valid as long as
 * @s.
 */
struct bb_bytes
bb_adjacent_spans_begin_exchange(struct bb_adjacent_spans *s,
				 const struct bb_message_execute *x,
				 const char *backend);

/**
 * bb_adjacent_spans_end() - end the span in progress, if there is one.
 */
void bb_adjacent_spans_end(struct bb_adjacent_spans *s, enum bb_verdict verdict,
			   enum bb_reason reason, unsigned int status);

#endif

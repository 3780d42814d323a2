/*
 * Traces: W3C trace context, spans, and their export as OTLP/HTTP JSON.
 *
 * Any thread may end a span, which appends it to a bounded queue without
 * blocking; the exporter thread of the tracer posts the queued spans in
 * batches. A span that finds the queue full or cannot be delivered is dropped
 * and counted by BB_METRIC_SPANS_LOST.
 */
#ifndef BAOBABWARD_TRACE_H
#define BAOBABWARD_TRACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "baobabward/error.h"
#include "baobabward/verdict.h"

#ifdef __cplusplus
extern "C" {
#endif

#define BB_TRACE_ID_SIZE 16
#define BB_SPAN_ID_SIZE 8
/* Size of a traceparent value of version 00, with the terminating NUL. */
#define BB_TRACEPARENT_SIZE 56

/**
 * struct bb_trace_context - position in a trace.
 * @trace_id: the trace
 * @span_id: parent of the next span, all zero for none
 * @sampled: spans of this trace are recorded
 */
struct bb_trace_context {
	uint8_t trace_id[BB_TRACE_ID_SIZE];
	uint8_t span_id[BB_SPAN_ID_SIZE];
	bool sampled;
};

/**
 * bb_traceparent_parse() - parse the value of a traceparent header.
 * @text: header value, may be NULL when @size is 0
 * @size: number of bytes
 * @c: set on success
 *
 * Return: false if the value is invalid by W3C Trace Context. The caller then
 * ignores it and begins a new trace.
 */
bool bb_traceparent_parse(const char *text, size_t size,
			  struct bb_trace_context *c);

/**
 * bb_traceparent_format() - write the value of a traceparent header.
 * @c: context whose @span_id is the parent for the receiver
 * @text: receives BB_TRACEPARENT_SIZE bytes
 */
void bb_traceparent_format(const struct bb_trace_context *c, char *text);

struct bb_tracer;
struct bb_span;

/**
 * enum bb_span_kind - span kinds; the values are those of OTLP.
 */
enum bb_span_kind {
	BB_SPAN_INTERNAL = 1,
	BB_SPAN_SERVER = 2,
	BB_SPAN_CLIENT = 3,
};

/**
 * enum bb_span_attribute - text attributes of a span.
 */
enum bb_span_attribute {
	BB_SPAN_REQUEST,
	BB_SPAN_BACKEND,
	BB_SPAN_ROUTE,
	BB_SPAN_ACCOUNT,
	BB_SPAN_ATTRIBUTE_COUNT
};

/* Keys of the exported attributes, indexed by enum bb_span_attribute. */
extern const char *const bb_span_attribute_key[];

/**
 * struct bb_tracer_options - options of a tracer.
 * @url: OTLP/HTTP endpoint for traces
 * @host: name of this host
 * @ratio: share of new traces to record, 0 to 1; the sampled flag of a
 *         traceparent that came with the request takes precedence
 * @capacity: size of the queue in spans, a power of two; one slot stays unused
 * @batch_max: maximum number of spans in one post
 * @interval_us: pause between posts
 * @backoff_us: pause after the first failed post; each further failure doubles
 *              it, up to 32 times this value
 * @flush_us: time limit for posts after bb_tracer_delete() was called; a post
 *            that began before may take another 1.5 s
 *
 * A value of 0 in @capacity and the fields after it selects the default.
 */
struct bb_tracer_options {
	const char *url;
	const char *host;
	double ratio;
	unsigned int capacity;
	unsigned int batch_max;
	int64_t interval_us;
	int64_t backoff_us;
	int64_t flush_us;
};

/**
 * bb_tracer_new() - start a tracer and its thread.
 * @o: options
 * @err: set on failure
 *
 * All functions below accept NULL for a tracer or span that does not exist
 * because tracing is off or the trace is not recorded.
 *
 * Return: the tracer, or NULL on failure.
 */
struct bb_tracer *bb_tracer_new(const struct bb_tracer_options *o,
				struct bb_error *err);

/**
 * bb_tracer_context() - continue the caller's trace or begin a new one.
 * @t: tracer
 * @traceparent: header value, may be NULL when @size is 0
 * @size: number of bytes
 * @c: set on success
 *
 * Return: false when tracing is off and the value is missing or invalid. No
 * traceparent is sent to the backend server then, since a new context that is
 * not sampled would also stop the backend server from recording its own trace.
 */
bool bb_tracer_context(const struct bb_tracer *t, const char *traceparent,
		       size_t size, struct bb_trace_context *c);

/**
 * bb_span_begin() - begin a span.
 * @t: tracer
 * @name: name of the operation, a constant string
 * @kind: kind
 * @c: context; on return its @span_id is that of the new span
 * @start_us: start on the monotonic clock
 *
 * Return: the span, or NULL if it is not recorded.
 */
struct bb_span *bb_span_begin(struct bb_tracer *t, const char *name,
			      enum bb_span_kind kind,
			      struct bb_trace_context *c, int64_t start_us);

/**
 * bb_span_set_attribute() - set a text attribute; a value of more than
 * BB_NAME_MAX bytes is truncated.
 */
void bb_span_set_attribute(struct bb_span *s, enum bb_span_attribute which,
			   const char *text, size_t size);

/**
 * bb_span_end() - end a span and queue it for export.
 * @t: tracer
 * @s: span; the tracer frees it
 * @verdict: whether the request may have run
 * @reason: why it was refused or failed, BB_REASON_NONE if it was not
 * @status: HTTP status code, 0 for none
 * @end_us: end on the monotonic clock
 */
void bb_span_end(struct bb_tracer *t, struct bb_span *s,
		 enum bb_verdict verdict, enum bb_reason reason,
		 unsigned int status, int64_t end_us);

/**
 * bb_tracer_delete() - post the queued spans within the time limit @flush_us of
 * the options, then stop the exporter thread.
 * @t: tracer, may be NULL; no other thread may use it any more
 */
void bb_tracer_delete(struct bb_tracer *t);

#ifdef __cplusplus
}
#endif
#endif

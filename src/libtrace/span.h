/* Spans and their OTLP encoding; internal to libtrace. */
#ifndef BB_TRACE_SPAN_H
#define BB_TRACE_SPAN_H

#include "baobabward/wire.h"
#include "baobabward/trace.h"

/**
 * struct bb_span - operation that is recorded.
 * @name: constant string
 * @kind: kind
 * @context: trace, and id of this span
 * @parent_id: id of the parent span if @has_parent
 * @has_parent: false for the first span of a trace
 * @start_us: start on the monotonic clock
 * @end_us: end on the monotonic clock
 * @verdict: whether the request may have run
 * @reason: why it was refused or failed, BB_REASON_NONE if it was not
 * @status: HTTP status code, 0 for none
 * @attributes: text attributes, empty if not set
 */
struct bb_span {
	const char *name;
	enum bb_span_kind kind;
	struct bb_trace_context context;
	uint8_t parent_id[BB_SPAN_ID_SIZE];
	bool has_parent;
	int64_t start_us;
	int64_t end_us;
	enum bb_verdict verdict;
	enum bb_reason reason;
	unsigned int status;
	char attributes[BB_SPAN_ATTRIBUTE_COUNT][BB_NAME_MAX + 1];
};

/**
 * bb_otlp_json() - encode spans as the body of an OTLP/HTTP JSON request.
 * @host: name of this host
 * @spans: spans
 * @nr: number of @spans
 * @wall_offset_us: wall clock minus monotonic clock, added to the times of the
 *                  spans
 *
 * Return: text that the caller frees with free().
 */
char *bb_otlp_json(const char *host, struct bb_span *const *spans, size_t nr,
		   int64_t wall_offset_us);

#endif

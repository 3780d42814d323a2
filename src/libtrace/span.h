/* Spans and the batch format, shared by the files of this package. */
#ifndef BB_TRACE_SPAN_H
#define BB_TRACE_SPAN_H

#include "baobabward/wire.h"
#include "baobabward/trace.h"

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
	char texts[BB_SPAN_ATTRIBUTE_COUNT][BB_NAME_MAX + 1];
};

/**
 * bb_otlp_json() - write spans as an OTLP/HTTP JSON request.
 * @host: name of this host
 * @spans: spans
 * @nr: number of @spans
 * @wall_offset_us: wall clock minus monotonic clock
 *
 * Return: text that the caller frees with free().
 */
char *bb_otlp_json(const char *host, struct bb_span *const *spans, size_t nr,
		   int64_t wall_offset_us);

#endif

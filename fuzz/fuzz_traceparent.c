/*
 * Parses a traceparent value. An accepted value must format to text that parses
 * to the same context.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "baobabward/trace.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct bb_trace_context c, again;
	char text[BB_TRACEPARENT_SIZE];

	if (!bb_traceparent_parse((const char *)data, size, &c))
		return 0;
	bb_traceparent_format(&c, text);
	if (strlen(text) != BB_TRACEPARENT_SIZE - 1 ||
	    !bb_traceparent_parse(text, strlen(text), &again) ||
	    memcmp(c.trace_id, again.trace_id, sizeof(c.trace_id)) != 0 ||
	    memcmp(c.span_id, again.span_id, sizeof(c.span_id)) != 0 ||
	    c.sampled != again.sampled)
		abort();
	return 0;
}

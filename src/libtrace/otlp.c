/* Encodes spans as OTLP/HTTP JSON. */
#include <assert.h>
#include <glib.h>
#include <jansson.h>
#include <sodium.h>
#include <string.h>

#include "libtrace/span.h"

const char *const bb_span_attribute_key[] = { "baobabward.request_id",
					      "baobabward.backend_server",
					      "baobabward.route",
					      "baobabward.client_account" };

static_assert(sizeof(bb_span_attribute_key) / sizeof(*bb_span_attribute_key) ==
		      BB_SPAN_ATTRIBUTE_COUNT,
	      "each text attribute needs a key");

/* OTLP status codes of a span. */
#define STATUS_UNSET 0
#define STATUS_ERROR 2

static json_t *json_hex(const uint8_t *bytes, size_t size)
{
	char text[2 * BB_TRACE_ID_SIZE + 1];

	sodium_bin2hex(text, sizeof(text), bytes, size);
	return json_string(text);
}

/* The JSON encoding of OTLP has 64-bit integers as strings. */
static json_t *json_int64(int64_t n)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, n);
	return json_string(text);
}

static void add_attribute(json_t *attributes, const char *key,
			  const char *value)
{
	/* Names come from the network; jansson refuses invalid UTF-8, so such
	 * an attribute is left out. */
	if (*value && g_utf8_validate(value, -1, NULL))
		json_array_append_new(attributes,
				      json_pack("{s:s, s:{s:s}}", "key", key,
						"value", "stringValue", value));
}

static json_t *span_attributes(const struct bb_span *s)
{
	json_t *a = json_array();

	for (int i = 0; i < BB_SPAN_ATTRIBUTE_COUNT; i++)
		add_attribute(a, bb_span_attribute_key[i], s->attributes[i]);
	add_attribute(a, "baobabward.verdict", bb_verdict_string[s->verdict]);
	if (s->reason != BB_REASON_NONE)
		add_attribute(a, "baobabward.reason",
			      bb_reason_string[s->reason]);
	if (s->status)
		json_array_append_new(a, json_pack("{s:s, s:{s:o}}", "key",
						   "http.response.status_code",
						   "value", "intValue",
						   json_int64(s->status)));
	return a;
}

static json_t *span_json(const struct bb_span *s, int64_t wall_offset_us)
{
	json_t *o = json_object();
	bool failed = s->reason != BB_REASON_NONE || s->status >= 500;

	json_object_set_new(o, "traceId",
			    json_hex(s->context.trace_id, BB_TRACE_ID_SIZE));
	json_object_set_new(o, "spanId",
			    json_hex(s->context.span_id, BB_SPAN_ID_SIZE));
	if (s->has_parent)
		json_object_set_new(o, "parentSpanId",
				    json_hex(s->parent_id, BB_SPAN_ID_SIZE));
	json_object_set_new(o, "name", json_string(s->name));
	json_object_set_new(o, "kind", json_integer(s->kind));
	json_object_set_new(o, "startTimeUnixNano",
			    json_int64((s->start_us + wall_offset_us) * 1000));
	json_object_set_new(o, "endTimeUnixNano",
			    json_int64((s->end_us + wall_offset_us) * 1000));
	json_object_set_new(o, "attributes", span_attributes(s));
	json_object_set_new(o, "status",
			    json_pack("{s:i}", "code",
				      failed ? STATUS_ERROR : STATUS_UNSET));
	return o;
}

char *bb_otlp_json(const char *host, struct bb_span *const *spans, size_t nr,
		   int64_t wall_offset_us)
{
	json_t *list = json_array();
	json_t *resource = json_array();
	json_t *o;
	char *text;

	for (size_t i = 0; i < nr; i++)
		json_array_append_new(list,
				      span_json(spans[i], wall_offset_us));
	add_attribute(resource, "service.name", "baobabward");
	add_attribute(resource, "service.version", BB_VERSION);
	add_attribute(resource, "host.name", host);
	o = json_pack("{s:[{s:{s:o}, s:[{s:{s:s}, s:o}]}]}", "resourceSpans",
		      "resource", "attributes", resource, "scopeSpans", "scope",
		      "name", "baobabward", "spans", list);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

#include "libnode/answer.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "baobabward/clock.h"
#include "baobabward/log.h"
#include "baobabward/metrics.h"

/* Problem types are URNs, so that no server has to serve them. */
#define PROBLEM_TYPE_PREFIX "urn:baobabward:problem:"

/* A larger body is passed on in blocks of this size, so that its progress is
 * seen. */
#define RESPONSE_BLOCK_BYTES (32u * 1024)

static char *problem_body(const struct bb_call *c)
{
	const struct bb_answer *a = &c->answer;
	/* Callers choose the id; jansson takes no invalid UTF-8. */
	char *id = g_utf8_make_valid(c->id, -1);
	char type[96];
	json_t *o;
	char *s;

	g_snprintf(type, sizeof(type), PROBLEM_TYPE_PREFIX "%s",
		   bb_reason_string[a->reason]);
	o = json_pack("{s:s, s:s, s:i, s:s, s:s}", "type", type, "title",
		      bb_reason_string[a->reason], "status", (int)a->status,
		      "verdict", bb_verdict_string[a->verdict], "request_id",
		      id);
	s = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	g_free(id);
	return s;
}

static void add_retry_after(struct MHD_Response *r, uint32_t ms,
			    const struct bb_dialect *d)
{
	char seconds[16];

	if (!ms)
		return;
	if (d->fractional_retry_after)
		g_snprintf(seconds, sizeof(seconds), "%u.%03u", ms / 1000,
			   ms % 1000);
	else
		g_snprintf(seconds, sizeof(seconds), "%u", (ms + 999) / 1000);
	MHD_add_response_header(r, "Retry-After", seconds);
}

static struct MHD_Response *problem_response(const struct bb_call *c,
					     const struct bb_dialect *d)
{
	char *body = problem_body(c);
	struct MHD_Response *r = MHD_create_response_from_buffer(
		strlen(body), body, MHD_RESPMEM_MUST_FREE);

	MHD_add_response_header(r, "Content-Type", "application/problem+json");
	add_retry_after(r, c->answer.retry_after_ms, d);
	if (c->answer.status == 401)
		MHD_add_response_header(r, "WWW-Authenticate", "Bearer");
	return r;
}

/**
 * struct body_source - passes on the body of a large response.
 * @call: outlives the response
 * @memory: accounting with the claim of @call
 */
struct body_source {
	struct bb_call *call;
	struct bb_body_memory *memory;
};

/* libmicrohttpd calls this as the caller reads, which is the progress. */
static ssize_t read_body(void *data, uint64_t at, char *to, size_t max)
{
	struct body_source *s = data;
	const GByteArray *body;
	size_t n;

	if (!bb_body_claim_pin(s->memory, &s->call->memory))
		return MHD_CONTENT_READER_END_WITH_ERROR;
	body = s->call->answer.body;
	n = MIN(max, body->len - (size_t)at);
	memcpy(to, body->data + at, n);
	bb_body_claim_moved(s->memory, &s->call->memory, n, bb_clock_now_us());
	return n ? (ssize_t)n : MHD_CONTENT_READER_END_OF_STREAM;
}

static struct MHD_Response *body_response(struct bb_call *c,
					  struct bb_body_memory *memory)
{
	const GByteArray *body = c->answer.body;
	struct body_source *s;

	/* The call, and with it the body, outlives the response. */
	if (!memory || body->len <= RESPONSE_BLOCK_BYTES)
		return MHD_create_response_from_buffer(body->len, body->data,
						       MHD_RESPMEM_PERSISTENT);
	s = g_new(struct body_source, 1);
	*s = (struct body_source){ c, memory };
	return MHD_create_response_from_callback(
		body->len, RESPONSE_BLOCK_BYTES, read_body, s, g_free);
}

static struct MHD_Response *backend_response(struct bb_call *c,
					     struct bb_body_memory *memory)
{
	const struct bb_answer *a = &c->answer;
	struct MHD_Response *r = body_response(c, memory);

	for (guint i = 0; a->headers && i < a->headers->len; i++) {
		struct bb_header *h =
			&g_array_index(a->headers, struct bb_header, i);

		MHD_add_response_header(r, h->name.data, h->value.data);
	}
	if (a->replayed)
		MHD_add_response_header(r, "Idempotency-Replayed", "true");
	return r;
}

/*
 * 502 and 504 leave open whether a request ran, so a caller may not send it
 * again. Requests that certainly did not run get 503 instead.
 */
static void answer_503_if_not_run(struct bb_answer *a)
{
	if (a->reason == BB_REASON_NONE || a->verdict != BB_VERDICT_NOT_RUN)
		return;
	if (a->status == 502 || a->status == 504)
		a->status = 503;
}

static const char *or_dash(const char *s)
{
	return s && *s ? s : "-";
}

static void log_answer(const struct bb_call *c)
{
	const struct bb_answer *a = &c->answer;
	int64_t now_us = bb_clock_now_us();

	bb_log_event(
		BB_LOG_FRONT, G_LOG_LEVEL_INFO, c->id, "answer",
		"status=%u verdict=%s reason=%s route=%s account=%s "
		"config=%" G_GUINT64_FORMAT " attempts=%u backend=%s "
		"took_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT
		" retry_after_ms=%u",
		a->status, bb_verdict_string[a->verdict],
		bb_reason_string[a->reason],
		c->route == BB_NO_ROW ? "-" : bb_call_route(c)->name,
		or_dash(bb_call_account_name(c)), c->snapshot->config->version,
		c->attempts_nr, or_dash(c->backend),
		(now_us - c->arrived_us) / BB_US_PER_MS,
		c->deadline_us ? (c->deadline_us - now_us) / BB_US_PER_MS : 0,
		a->retry_after_ms);
}

enum MHD_Result bb_answer_queue(struct bb_call *c, bool close,
				const struct bb_dialect *dialect,
				struct bb_request_history *history,
				struct bb_body_memory *memory)
{
	struct bb_answer *a = &c->answer;
	struct MHD_Response *r;
	enum MHD_Result rc;

	if (dialect->not_run_as_503)
		answer_503_if_not_run(a);
	r = a->reason == BB_REASON_NONE ? backend_response(c, memory) :
					  problem_response(c, dialect);
	MHD_add_response_header(r, "Baobabward-Verdict",
				bb_verdict_string[a->verdict]);
	MHD_add_response_header(r, "Baobabward-Request-Id", c->id);
	if (close)
		MHD_add_response_header(r, "Connection", "close");
	if (a->reason != BB_REASON_NONE) {
		bb_metrics_count_refusal(a->reason);
		bb_request_history_add(history, c);
	}
	log_answer(c);
	bb_metrics_observe(BB_HISTOGRAM_ANSWER,
			   bb_clock_now_us() - c->arrived_us);
	rc = MHD_queue_response(c->connection, a->status, r);
	MHD_destroy_response(r);
	return rc;
}

#include "libnode/answer.h"

#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "baobabward/clock.h"
#include "baobabward/log.h"
#include "baobabward/metrics.h"

/* Problem types are URNs, so that no server has to serve them. */
#define PROBLEM_TYPE_PREFIX "urn:baobabward:problem:"

/* A larger body is passed on in blocks of this size, so that its progress is
 * seen. */
#define RESPONSE_BLOCK_BYTES (32u * 1024)

/* Statuses that a final response can have. */
#define STATUS_FINAL_MIN 200u
#define STATUS_MAX 599u
/* What libmicrohttpd keeps of a header, argument or cookie besides its text. */
#define REQUEST_VALUE_BYTES 64u
/* Status line and headers that the node or libmicrohttpd adds to a response. */
#define RESPONSE_FIXED_BYTES 512u

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

/* Value of the header Retry-After. */
static void retry_after_text(char *to, size_t size, uint32_t ms,
			     const struct bb_dialect *d)
{
	if (d->fractional_retry_after)
		g_snprintf(to, size, "%u.%03u", ms / 1000, ms % 1000);
	else
		g_snprintf(to, size, "%u", (ms + 999) / 1000);
}

typedef void (*add_header_fn)(void *to, const char *name, const char *value);

/* Headers of a problem document besides its length. */
static void add_problem_headers(const struct bb_call *c,
				const struct bb_dialect *d, add_header_fn add,
				void *to)
{
	char seconds[16];

	add(to, "Content-Type", "application/problem+json");
	if (c->answer.retry_after_ms) {
		retry_after_text(seconds, sizeof(seconds),
				 c->answer.retry_after_ms, d);
		add(to, "Retry-After", seconds);
	}
	if (c->answer.status == 401)
		add(to, "WWW-Authenticate", "Bearer");
}

/* Headers of each answer. */
static void add_answer_headers(const struct bb_call *c, bool close,
			       add_header_fn add, void *to)
{
	add(to, "Baobabward-Verdict", bb_verdict_string[c->answer.verdict]);
	add(to, "Baobabward-Request-Id", c->id);
	if (close)
		add(to, "Connection", "close");
}

static void add_to_response(void *to, const char *name, const char *value)
{
	MHD_add_response_header(to, name, value);
}

static void add_to_text(void *to, const char *name, const char *value)
{
	g_string_append_printf(to, "%s: %s\r\n", name, value);
}

static struct MHD_Response *problem_response(const struct bb_call *c,
					     const struct bb_dialect *d)
{
	char *body = problem_body(c);
	struct MHD_Response *r = MHD_create_response_from_buffer(
		strlen(body), body, MHD_RESPMEM_MUST_FREE);

	add_problem_headers(c, d, add_to_response, r);
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

static enum MHD_Result add_trailer_bytes(void *data, enum MHD_ValueKind kind,
					 const char *name, const char *value)
{
	size_t *bytes = data;

	(void)kind;
	*bytes += strlen(name) + (value ? strlen(value) : 0);
	return MHD_YES;
}

/* Memory of the connection that its request takes. */
static size_t request_bytes(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
	const char *cookies = MHD_lookup_connection_value(
		connection, MHD_HEADER_KIND, "Cookie");
	int values = MHD_get_connection_values(
		connection,
		(enum MHD_ValueKind)(MHD_HEADER_KIND | MHD_COOKIE_KIND |
				     MHD_GET_ARGUMENT_KIND | MHD_FOOTER_KIND),
		NULL, NULL);
	size_t bytes = info ? info->header_size : 0;

	MHD_get_connection_values(connection, MHD_FOOTER_KIND,
				  add_trailer_bytes, &bytes);
	/* Cookies are split in a copy. */
	return bytes + (cookies ? strlen(cookies) + 1 : 0) +
	       (size_t)MAX(0, values) * REQUEST_VALUE_BYTES;
}

static size_t response_bytes(const struct bb_answer *a)
{
	size_t bytes = RESPONSE_FIXED_BYTES;

	for (guint i = 0; a->headers && i < a->headers->len; i++) {
		const struct bb_header *h =
			&g_array_index(a->headers, struct bb_header, i);

		bytes += h->name.size + strlen(": ") + h->value.size +
			 strlen("\r\n");
	}
	return bytes;
}

bool bb_answer_has_room(const struct bb_call *c)
{
	return request_bytes(c->connection) + RESPONSE_FIXED_BYTES <=
	       BB_CONNECTION_MEMORY_BYTES;
}

/* libmicrohttpd would close the connection without a response. */
static void fail_if_unusable(struct bb_call *c)
{
	size_t request = request_bytes(c->connection);
	size_t response = response_bytes(&c->answer);

	if (c->answer.status < STATUS_FINAL_MIN ||
	    c->answer.status > STATUS_MAX) {
		bb_log_event(BB_LOG_FRONT, G_LOG_LEVEL_WARNING, c->id,
			     "response_status_invalid", "status=%u",
			     c->answer.status);
		bb_call_refuse(c, BB_VERDICT_MAY_HAVE_RUN,
			       BB_REASON_BACKEND_FAILED, 0);
		return;
	}
	if (request + response <= BB_CONNECTION_MEMORY_BYTES)
		return;
	bb_log_event(BB_LOG_FRONT, G_LOG_LEVEL_INFO, c->id,
		     "response_head_too_large",
		     "status=%u response_bytes=%zu request_bytes=%zu limit=%u",
		     c->answer.status, response, request,
		     BB_CONNECTION_MEMORY_BYTES);
	bb_call_refuse(c, BB_VERDICT_RAN, BB_REASON_BACKEND_FAILED, 0);
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

static void record_answer(struct bb_call *c, struct bb_request_history *history)
{
	if (c->answer.reason != BB_REASON_NONE) {
		bb_metrics_count_refusal(c->answer.reason);
		bb_request_history_add(history, c);
	}
	log_answer(c);
	bb_metrics_observe(BB_HISTOGRAM_ANSWER,
			   bb_clock_now_us() - c->arrived_us);
}

enum MHD_Result bb_answer_queue(struct bb_call *c, bool close,
				const struct bb_dialect *dialect,
				struct bb_request_history *history,
				struct bb_body_memory *memory)
{
	struct bb_answer *a = &c->answer;
	struct MHD_Response *r;
	enum MHD_Result rc;

	if (a->reason == BB_REASON_NONE)
		fail_if_unusable(c);
	if (dialect->not_run_as_503)
		answer_503_if_not_run(a);
	r = a->reason == BB_REASON_NONE ? backend_response(c, memory) :
					  problem_response(c, dialect);
	add_answer_headers(c, close, add_to_response, r);
	record_answer(c, history);
	rc = MHD_queue_response(c->connection, a->status, r);
	c->answer_queued = rc == MHD_YES;
	MHD_destroy_response(r);
	return rc;
}

static GString *problem_text(const struct bb_call *c,
			     const struct bb_dialect *d)
{
	GString *text = g_string_new(NULL);
	char *body = problem_body(c);

	g_string_printf(text, "HTTP/1.1 %u %s\r\n", c->answer.status,
			MHD_get_reason_phrase_for(c->answer.status));
	add_problem_headers(c, d, add_to_text, text);
	add_answer_headers(c, true, add_to_text, text);
	g_string_append_printf(text, "Content-Length: %zu\r\n\r\n",
			       strlen(body));
	if (strcmp(c->method, MHD_HTTP_METHOD_HEAD) != 0)
		g_string_append(text, body);
	free(body);
	return text;
}

bool bb_answer_send_early(struct bb_call *c, int fd,
			  const struct bb_dialect *dialect,
			  struct bb_request_history *history)
{
	GString *text;
	ssize_t n;

	if (dialect->not_run_as_503)
		answer_503_if_not_run(&c->answer);
	text = problem_text(c, dialect);
	record_answer(c, history);
	n = send(fd, text->str, text->len, MSG_NOSIGNAL | MSG_DONTWAIT);
	c->answer_queued = n == (ssize_t)text->len;
	if (!c->answer_queued)
		bb_log_event(BB_LOG_FRONT, G_LOG_LEVEL_INFO, c->id,
			     "answer_not_sent",
			     "sent=%" G_GSSIZE_FORMAT " size=%" G_GSIZE_FORMAT
			     " error=\"%s\"",
			     (gssize)n, text->len,
			     n < 0 ? g_strerror(errno) : "-");
	g_string_free(text, TRUE);
	/* For callers that read until the connection ends. */
	if (shutdown(fd, SHUT_WR))
		bb_log_debug(BB_LOG_FRONT,
			     "cannot close the sending direction: %s",
			     g_strerror(errno));
	return c->answer_queued;
}

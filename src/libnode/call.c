#include "libnode/call.h"

#include <string.h>

#include "baobabward/clock.h"

static void free_header(void *data)
{
	struct bb_header *h = data;

	g_free((char *)h->name.data);
	g_free((char *)h->value.data);
}

static GArray *headers_new(void)
{
	GArray *a = g_array_new(FALSE, FALSE, sizeof(struct bb_header));

	g_array_set_clear_func(a, free_header);
	return a;
}

static void append_header(GArray *a, const char *name, size_t name_size,
			  const char *value, size_t value_size)
{
	struct bb_header h = {
		{ g_strndup(name, name_size), name_size },
		{ g_strndup(value, value_size), value_size },
	};

	g_array_append_val(a, h);
}

struct bb_call *bb_call_new(struct MHD_Connection *connection,
			    struct bb_snapshot *snapshot)
{
	struct bb_call *c = g_new0(struct bb_call, 1);

	c->connection = connection;
	c->snapshot = bb_snapshot_ref(snapshot);
	c->route = BB_NO_ROW;
	c->account = BB_NO_ROW;
	c->arrived_us = bb_clock_now_us();
	c->headers = headers_new();
	c->body = g_byte_array_new();
	return c;
}

void bb_call_add_header(struct bb_call *c, const char *name, size_t name_size,
			const char *value, size_t value_size)
{
	append_header(c->headers, name, name_size, value, value_size);
}

const struct bb_route *bb_call_route(const struct bb_call *c)
{
	return &c->snapshot->config->routes[c->route];
}

const struct bb_account *bb_call_account(const struct bb_call *c)
{
	return &c->snapshot->config->accounts[c->account];
}

const char *bb_call_account_name(const struct bb_call *c)
{
	return c->account == BB_NO_ROW ? "" : bb_call_account(c)->name;
}

void bb_call_refuse(struct bb_call *c, enum bb_verdict verdict,
		    enum bb_reason reason, uint32_t retry_after_ms)
{
	c->answer.status = bb_reason_status(reason);
	/* To callers, 503 and 429 mean that the request did not run. */
	if (verdict != BB_VERDICT_NOT_RUN &&
	    (c->answer.status == 503 || c->answer.status == 429))
		c->answer.status = 502;
	c->answer.verdict = verdict;
	c->answer.reason = reason;
	c->answer.retry_after_ms = retry_after_ms;
}

void bb_call_answer(struct bb_call *c, unsigned int status,
		    const struct bb_header *headers, size_t headers_nr,
		    const struct bb_bytes *body)
{
	c->answer.status = status;
	c->answer.verdict = BB_VERDICT_RAN;
	c->answer.reason = BB_REASON_NONE;
	if (!c->answer.headers)
		c->answer.headers = headers_new();
	g_array_set_size(c->answer.headers, 0);
	for (size_t i = 0; i < headers_nr; i++)
		append_header(c->answer.headers, headers[i].name.data,
			      headers[i].name.size, headers[i].value.data,
			      headers[i].value.size);
	if (!c->answer.body)
		c->answer.body = g_byte_array_new();
	g_byte_array_set_size(c->answer.body, 0);
	if (body->size)
		g_byte_array_append(c->answer.body, (const guint8 *)body->data,
				    (guint)body->size);
}

void bb_call_free_upload(struct bb_call *c)
{
	g_free(c->upload);
	c->upload = NULL;
	c->upload_size = 0;
	c->upload_capacity = 0;
}

void bb_call_free_body(struct bb_call *c)
{
	/* An emptied array would keep its memory. */
	g_byte_array_unref(c->body);
	c->body = g_byte_array_new();
}

void bb_call_complete_body(struct bb_call *c)
{
	if (!c->upload)
		return;
	g_byte_array_unref(c->body);
	c->body = g_byte_array_new_take(c->upload, c->upload_size);
	c->upload = NULL;
}

void bb_call_delete(struct bb_call *c)
{
	if (!c)
		return;
	bb_snapshot_put(c->snapshot);
	g_free(c->method);
	g_free(c->target);
	g_free(c->traceparent);
	g_free(c->backend);
	g_array_unref(c->headers);
	g_byte_array_unref(c->body);
	g_free(c->upload);
	if (c->answer.headers)
		g_array_unref(c->answer.headers);
	if (c->answer.body)
		g_byte_array_unref(c->answer.body);
	g_free(c);
}

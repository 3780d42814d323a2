#include "libnode/request_spans.h"

#include <string.h>

#include "baobabward/clock.h"

static void set_text(struct bb_span *s, enum bb_span_attribute which,
		     const char *text)
{
	bb_span_set_attribute(s, which, text, strlen(text));
}

static void describe_call(struct bb_span *s, const struct bb_call *c)
{
	if (!s)
		return;
	set_text(s, BB_SPAN_REQUEST, c->id);
	if (c->route != BB_NO_ROW)
		set_text(s, BB_SPAN_ROUTE, bb_call_route(c)->name);
	if (c->account != BB_NO_ROW)
		set_text(s, BB_SPAN_ACCOUNT, bb_call_account(c)->name);
}

void bb_entry_spans_begin(struct bb_entry_spans *h, struct bb_tracer *tracer,
			  const struct bb_call *c)
{
	h->tracer = tracer;
	h->known = bb_tracer_context(
		tracer, c->traceparent,
		c->traceparent ? strlen(c->traceparent) : 0, &h->context);
	h->server = bb_span_begin(tracer, "request", BB_SPAN_SERVER,
				  &h->context, c->arrived_us);
	describe_call(h->server, c);
}

void bb_entry_spans_begin_attempt(struct bb_entry_spans *h,
				  const struct bb_call *c, const char *backend)
{
	struct bb_trace_context context = h->context;

	h->attempt = bb_span_begin(h->tracer, "attempt", BB_SPAN_CLIENT,
				   &context, bb_clock_now_us());
	describe_call(h->attempt, c);
	set_text(h->attempt, BB_SPAN_BACKEND, backend);
	h->traceparent[0] = '\0';
	if (h->known)
		bb_traceparent_format(&context, h->traceparent);
}

void bb_entry_spans_end_attempt(struct bb_entry_spans *h,
				enum bb_verdict verdict, enum bb_reason reason,
				unsigned int status)
{
	bb_span_end(h->tracer, h->attempt, verdict, reason, status,
		    bb_clock_now_us());
	h->attempt = NULL;
}

void bb_entry_spans_end(struct bb_entry_spans *h, const struct bb_call *c)
{
	const struct bb_answer *a = &c->answer;

	bb_entry_spans_end_attempt(h, a->verdict, a->reason, a->status);
	bb_span_end(h->tracer, h->server, a->verdict, a->reason, a->status,
		    bb_clock_now_us());
	h->server = NULL;
}

static void describe_execute(struct bb_span *s,
			     const struct bb_message_execute *x)
{
	bb_span_set_attribute(s, BB_SPAN_ROUTE, x->route.data, x->route.size);
	bb_span_set_attribute(s, BB_SPAN_ACCOUNT, x->account.data,
			      x->account.size);
}

void bb_adjacent_spans_begin(struct bb_adjacent_spans *h,
			     struct bb_tracer *tracer,
			     const struct bb_message_execute *x)
{
	struct bb_trace_context context;

	h->tracer = tracer;
	h->known = bb_tracer_context(tracer, x->traceparent.data,
				     x->traceparent.size, &h->context);
	context = h->context;
	h->queue = bb_span_begin(tracer, "queue", BB_SPAN_INTERNAL, &context,
				 bb_clock_now_us());
	describe_execute(h->queue, x);
	bb_span_set_attribute(h->queue, BB_SPAN_BACKEND, x->backend.data,
			      x->backend.size);
}

struct bb_bytes
bb_adjacent_spans_begin_exchange(struct bb_adjacent_spans *h,
				 const struct bb_message_execute *x,
				 const char *backend)
{
	struct bb_trace_context context = h->context;
	int64_t now_us = bb_clock_now_us();

	bb_span_end(h->tracer, h->queue, BB_VERDICT_NOT_RUN, BB_REASON_NONE, 0,
		    now_us);
	h->queue = NULL;
	h->client = bb_span_begin(h->tracer, "backend", BB_SPAN_CLIENT,
				  &context, now_us);
	describe_execute(h->client, x);
	set_text(h->client, BB_SPAN_BACKEND, backend);
	if (h->known)
		bb_traceparent_format(&context, h->traceparent);
	return (struct bb_bytes){ h->traceparent, strlen(h->traceparent) };
}

void bb_adjacent_spans_end(struct bb_adjacent_spans *h, enum bb_verdict verdict,
			   enum bb_reason reason, unsigned int status)
{
	int64_t now_us = bb_clock_now_us();

	bb_span_end(h->tracer, h->queue, verdict, reason, status, now_us);
	bb_span_end(h->tracer, h->client, verdict, reason, status, now_us);
	h->queue = NULL;
	h->client = NULL;
}

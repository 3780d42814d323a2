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

void bb_entry_spans_begin(struct bb_entry_spans *s, struct bb_tracer *tracer,
			  const struct bb_call *c)
{
	s->tracer = tracer;
	s->has_context = bb_tracer_context(
		tracer, c->traceparent,
		c->traceparent ? strlen(c->traceparent) : 0, &s->context);
	s->request = bb_span_begin(tracer, "request", BB_SPAN_SERVER,
				   &s->context, c->arrived_us);
	describe_call(s->request, c);
}

void bb_entry_spans_begin_attempt(struct bb_entry_spans *s,
				  const struct bb_call *c, const char *backend)
{
	struct bb_trace_context context = s->context;

	s->attempt = bb_span_begin(s->tracer, "attempt", BB_SPAN_CLIENT,
				   &context, bb_clock_now_us());
	describe_call(s->attempt, c);
	set_text(s->attempt, BB_SPAN_BACKEND, backend);
	s->traceparent[0] = '\0';
	if (s->has_context)
		bb_traceparent_format(&context, s->traceparent);
}

void bb_entry_spans_move_attempt(struct bb_entry_spans *s, const char *backend)
{
	if (s->attempt)
		set_text(s->attempt, BB_SPAN_BACKEND, backend);
}

void bb_entry_spans_end_attempt(struct bb_entry_spans *s,
				enum bb_verdict verdict, enum bb_reason reason,
				unsigned int status)
{
	bb_span_end(s->tracer, s->attempt, verdict, reason, status,
		    bb_clock_now_us());
	s->attempt = NULL;
}

void bb_entry_spans_end(struct bb_entry_spans *s, const struct bb_call *c)
{
	const struct bb_answer *a = &c->answer;

	bb_entry_spans_end_attempt(s, a->verdict, a->reason, a->status);
	bb_span_end(s->tracer, s->request, a->verdict, a->reason, a->status,
		    bb_clock_now_us());
	s->request = NULL;
}

static void describe_execute(struct bb_span *s,
			     const struct bb_message_execute *x)
{
	bb_span_set_attribute(s, BB_SPAN_ROUTE, x->route.data, x->route.size);
	bb_span_set_attribute(s, BB_SPAN_ACCOUNT, x->account.data,
			      x->account.size);
}

void bb_adjacent_spans_begin(struct bb_adjacent_spans *s,
			     struct bb_tracer *tracer,
			     const struct bb_message_execute *x)
{
	struct bb_trace_context context;

	s->tracer = tracer;
	s->has_context = bb_tracer_context(tracer, x->traceparent.data,
					   x->traceparent.size, &s->context);
	context = s->context;
	s->queue = bb_span_begin(tracer, "queue", BB_SPAN_INTERNAL, &context,
				 bb_clock_now_us());
	describe_execute(s->queue, x);
	bb_span_set_attribute(s->queue, BB_SPAN_BACKEND, x->backend.data,
			      x->backend.size);
}

struct bb_bytes
bb_adjacent_spans_begin_exchange(struct bb_adjacent_spans *s,
				 const struct bb_message_execute *x,
				 const char *backend)
{
	struct bb_trace_context context = s->context;
	int64_t now_us = bb_clock_now_us();

	bb_span_end(s->tracer, s->queue, BB_VERDICT_NOT_RUN, BB_REASON_NONE, 0,
		    now_us);
	s->queue = NULL;
	s->exchange = bb_span_begin(s->tracer, "backend", BB_SPAN_CLIENT,
				    &context, now_us);
	describe_execute(s->exchange, x);
	set_text(s->exchange, BB_SPAN_BACKEND, backend);
	if (s->has_context)
		bb_traceparent_format(&context, s->traceparent);
	return (struct bb_bytes){ s->traceparent, strlen(s->traceparent) };
}

void bb_adjacent_spans_end(struct bb_adjacent_spans *s, enum bb_verdict verdict,
			   enum bb_reason reason, unsigned int status)
{
	int64_t now_us = bb_clock_now_us();

	bb_span_end(s->tracer, s->queue, verdict, reason, status, now_us);
	bb_span_end(s->tracer, s->exchange, verdict, reason, status, now_us);
	s->queue = NULL;
	s->exchange = NULL;
}

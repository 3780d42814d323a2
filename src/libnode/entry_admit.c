/* Admission of a call: rate limit tokens and idempotency records. */
#include "libnode/entry_private.h"

#include <string.h>
#include <xxhash.h>

#include "baobabward/clock.h"
#include "baobabward/idempotency.h"
#include "baobabward/log.h"
#include "libnode/headers.h"

/* Time that the store may take to answer after the deadline of the request. */
#define RECORD_GRACE_MS 1000u

void bb_attempts_stop_waiting(struct bb_attempts *t)
{
	struct bb_entry *e = t->entry;

	if (t->state == ATTEMPT_WAITS_FOR_TOKEN) {
		g_queue_remove(&e->token_waiters, t);
		bb_control_cancel_wait(e->o.control,
				       bb_call_account(t->call)->name);
	}
	if (t->state == ATTEMPT_WAITS_FOR_RECORD)
		g_hash_table_remove(e->attempts, &t->record_id.sequence);
}

static struct bb_record_query *new_query(const struct bb_attempts *t,
					 enum bb_record_action action)
{
	const struct bb_call *c = t->call;
	const char *account = bb_call_account_name(c);
	int64_t left_us = c->deadline_us - bb_clock_now_us();
	struct bb_record_query *q = g_new0(struct bb_record_query, 1);

	q->m.id = t->record_id;
	q->m.action = action;
	q->m.account_hash = XXH3_64bits(account, strlen(account));
	q->m.timeout_ms =
		(uint32_t)(MAX(0, left_us) / BB_US_PER_MS) + RECORD_GRACE_MS;
	memcpy(q->m.key_hash, c->idempotency_key_hash, sizeof(q->m.key_hash));
	q->m.fingerprint = c->fingerprint;
	return q;
}

static struct bb_bytes content_type(const struct bb_call *c)
{
	struct bb_bytes none = { NULL, 0 };

	for (guint i = 0; c->answer.headers && i < c->answer.headers->len;
	     i++) {
		struct bb_header *h =
			&g_array_index(c->answer.headers, struct bb_header, i);

		if (bb_header_is(&h->name, "content-type"))
			return h->value;
	}
	return none;
}

/*
 * The caller does not wait for the store. If the outcome is lost, a later
 * request with the same key is told "may have run".
 */
void bb_attempts_store_outcome(struct bb_attempts *t)
{
	const struct bb_call *c = t->call;
	struct bb_record_query *q = new_query(t, BB_RECORD_FINISH);
	struct bb_bytes type = content_type(c);
	struct bb_outcome *o = &q->m.outcome;

	o->verdict = c->answer.verdict;
	o->status = c->answer.status;
	if (c->answer.reason == BB_REASON_NONE) {
		q->content_type = g_strndup(type.data, type.size);
		q->body = g_memdup2(c->answer.body->data, c->answer.body->len);
		o->content_type =
			(struct bb_bytes){ q->content_type, type.size };
		o->body = (struct bb_bytes){ q->body, c->answer.body->len };
	}
	if (!bb_control_query_record(t->entry->o.control, q))
		bb_record_query_delete(q);
}

/*
 * The store may have recorded the key although its answer did not reach this
 * node. The request did not run, so storing the outcome releases the key.
 */
void bb_attempts_refuse_unrecorded(struct bb_attempts *t)
{
	bool lookup = t->call->lookup_only;

	t->key_recorded = !lookup;
	bb_attempts_refuse(t, BB_VERDICT_NOT_RUN, BB_REASON_RECORD_UNAVAILABLE);
}

static void query_record(struct bb_attempts *t)
{
	struct bb_entry *e = t->entry;
	struct bb_record_query *q;

	t->record_id.incarnation = e->o.incarnation;
	t->record_id.sequence = ++e->last_sequence;
	q = new_query(t, t->call->lookup_only ? BB_RECORD_LOOKUP :
						BB_RECORD_BEGIN);
	if (!bb_control_query_record(e->o.control, q)) {
		bb_record_query_delete(q);
		bb_attempts_refuse(t, BB_VERDICT_NOT_RUN,
				   BB_REASON_RECORD_UNAVAILABLE);
		return;
	}
	t->state = ATTEMPT_WAITS_FOR_RECORD;
	g_hash_table_insert(e->attempts, &t->record_id.sequence, t);
	bb_attempts_set_timer(t, t->call->deadline_us - bb_clock_now_us());
}

static bool is_rate_limited(const struct bb_call *c)
{
	return c->account != BB_NO_ROW && !bb_call_account(c)->unlimited;
}

static void start_admitted(struct bb_attempts *t)
{
	t->state = ATTEMPT_NONE;
	if (t->call->has_idempotency_key)
		query_record(t);
	else
		bb_attempts_start_next(t);
}

void bb_attempts_admit(struct bb_attempts *t, bool waited)
{
	struct bb_entry *e = t->entry;
	const char *account = bb_call_account_name(t->call);
	int64_t now_us = bb_clock_now_us();
	int64_t left_us = t->call->deadline_us - now_us;
	int64_t retry_us = 0;

	if (!is_rate_limited(t->call)) {
		start_admitted(t);
		return;
	}
	switch (bb_control_spend(e->o.control, account, waited, now_us,
				 &retry_us)) {
	case BB_SPEND_GRANTED:
		start_admitted(t);
		return;
	case BB_SPEND_WAIT:
		t->state = ATTEMPT_WAITS_FOR_TOKEN;
		g_queue_push_tail(&e->token_waiters, t);
		if (!waited)
			bb_attempts_set_timer(t,
					      MIN(left_us, e->o.draw_wait_us));
		return;
	case BB_SPEND_REFUSED:
		t->token_wait_us = retry_us;
		break;
	}
	t->state = ATTEMPT_NONE;
	bb_attempts_refuse(t, BB_VERDICT_NOT_RUN, BB_REASON_RATE_LIMITED);
}

void bb_attempts_admit_from_reserve(struct bb_attempts *t)
{
	struct bb_entry *e = t->entry;
	const struct bb_account *a = bb_call_account(t->call);
	size_t hosts = e->snapshot->config->hosts_nr;
	int64_t now_us = bb_clock_now_us();
	bool spent =
		e->o.use_reserve &&
		bb_control_may_use_reserve(e->o.control, a->name, now_us) &&
		bb_reserve_spend(e->reserve, a, hosts, now_us);

	bb_log_event(BB_LOG_LEASE, G_LOG_LEVEL_INFO, t->call->id,
		     "holder_silent",
		     "account=%s waited_ms=%" G_GINT64_FORMAT " reserve=%s",
		     a->name, e->o.draw_wait_us / BB_US_PER_MS,
		     spent ? "spent" : "empty");
	if (!spent) {
		bb_attempts_refuse(t, BB_VERDICT_NOT_RUN,
				   BB_REASON_RATE_LIMITED);
		return;
	}
	bb_attempts_stop_waiting(t);
	start_admitted(t);
}

void bb_entry_tokens_arrived(struct bb_entry *e)
{
	guint nr = g_queue_get_length(&e->token_waiters);

	while (nr--) {
		struct bb_attempts *t = g_queue_pop_head(&e->token_waiters);

		/* Ending one call may have ended others. */
		if (!t)
			return;
		bb_attempts_admit(t, true);
	}
}

static void replay_outcome(struct bb_attempts *t,
			   const struct bb_record_query *q)
{
	static const char name[] = "Content-Type";
	const struct bb_outcome *o = &q->outcome;
	struct bb_header h = { { name, sizeof(name) - 1 }, o->content_type };

	if (o->status == BB_RECORD_STATUS_NOT_KEPT ||
	    o->verdict != BB_VERDICT_RAN) {
		bb_attempts_refuse(t, o->verdict,
				   BB_REASON_KEY_UNKNOWN_OUTCOME);
		return;
	}
	bb_call_answer(t->call, o->status, &h, o->content_type.size ? 1 : 0,
		       &o->body);
	t->call->answer.replayed = true;
	bb_attempts_finish(t);
}

void bb_entry_record_answered(struct bb_entry *e, struct bb_record_query *q)
{
	struct bb_attempts *t =
		g_hash_table_lookup(e->attempts, &q->m.id.sequence);

	if (!t || t->state != ATTEMPT_WAITS_FOR_RECORD ||
	    q->m.action == BB_RECORD_FINISH) {
		bb_record_query_delete(q);
		return;
	}
	bb_attempts_stop_waiting(t);
	t->state = ATTEMPT_NONE;
	switch (q->state) {
	case BB_RECORD_NEW:
		t->key_recorded = true;
		bb_attempts_start_next(t);
		break;
	case BB_RECORD_DONE:
		replay_outcome(t, q);
		break;
	case BB_RECORD_IN_PROGRESS:
		bb_attempts_refuse(t, BB_VERDICT_MAY_HAVE_RUN,
				   BB_REASON_KEY_IN_PROGRESS);
		break;
	case BB_RECORD_MISMATCH:
		bb_attempts_refuse(t, BB_VERDICT_NOT_RUN,
				   BB_REASON_KEY_MISMATCH);
		break;
	case BB_RECORD_ABSENT:
		bb_attempts_refuse(t, BB_VERDICT_NOT_RUN, BB_REASON_KEY_UNUSED);
		break;
	case BB_RECORD_UNAVAILABLE:
		bb_attempts_refuse_unrecorded(t);
		break;
	default:
		bb_attempts_refuse(t, BB_VERDICT_MAY_HAVE_RUN,
				   BB_REASON_KEY_UNKNOWN_OUTCOME);
		break;
	}
	bb_record_query_delete(q);
}

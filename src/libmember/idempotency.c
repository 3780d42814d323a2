/*
 * Record store of idempotency keys: who answers for a group, and what is
 * answered.
 *
 * "New" is answered only in a covered group, for a key that has no record or
 * whose last attempt certainly did not run. A repeated request of the attempt
 * in progress is answered "new" again.
 */
#include "baobabward/idempotency.h"

#include <string.h>

#include "baobabward/clock.h"
#include "libmember/idempotency_internal.h"

#define DEFAULT_GROUPS 512
#define DEFAULT_CHECK_GAP_MAX_US BB_US_PER_S
#define DEFAULT_RECORDS_MAX 65536
#define DEFAULT_ACCOUNT_RECORDS_MAX 16384
#define DEFAULT_BODY_MAX 65536
#define DEFAULT_BODY_BYTES_MAX (16u << 20)
/* Time until an attempt without a time-out counts as ended. */
#define DEFAULT_TIMEOUT_US (60 * BB_US_PER_S)

/* Window on this node's clock, long enough that it is not shorter than the
 * window on the clock of any other node. */
static int64_t window_us(const struct bb_records *r)
{
	return r->o.window_us + r->o.window_us * DRIFT_PERCENT / 100;
}

static guint key_hash_hash(gconstpointer key)
{
	guint h;

	/* Any bytes of the key will do: it is a cryptographic hash. */
	memcpy(&h, key, sizeof(h));
	return h;
}

static gboolean key_hash_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, 32);
}

static void record_free(gpointer data)
{
	struct record *rec = data;

	g_free(rec->bytes);
	g_free(rec);
}

struct bb_records *bb_records_new(const struct bb_records_options *o)
{
	struct bb_records *r = g_new0(struct bb_records, 1);

	r->o = *o;
	if (!r->o.groups)
		r->o.groups = DEFAULT_GROUPS;
	if (!r->o.check_gap_max_us)
		r->o.check_gap_max_us = DEFAULT_CHECK_GAP_MAX_US;
	if (!r->o.records_max)
		r->o.records_max = DEFAULT_RECORDS_MAX;
	if (!r->o.account_records_max)
		r->o.account_records_max = DEFAULT_ACCOUNT_RECORDS_MAX;
	if (!r->o.body_max)
		r->o.body_max = DEFAULT_BODY_MAX;
	if (!r->o.body_bytes_max)
		r->o.body_bytes_max = DEFAULT_BODY_BYTES_MAX;
	r->groups = g_new0(struct group, r->o.groups);
	r->records = g_hash_table_new_full(key_hash_hash, key_hash_equal, NULL,
					   record_free);
	r->account_counts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, NULL);
	g_queue_init(&r->expiry_queue);
	return r;
}

void bb_records_delete(struct bb_records *r)
{
	if (!r)
		return;
	for (uint32_t i = 0; i < r->o.groups; i++)
		bb_records_incoming_delete(r->groups[i].incoming);
	g_hash_table_destroy(r->records);
	g_hash_table_destroy(r->account_counts);
	g_free(r->groups);
	g_free(r);
}

static uint32_t account_count(const struct bb_records *r, uint64_t account)
{
	return GPOINTER_TO_UINT(
		g_hash_table_lookup(r->account_counts, &account));
}

static void set_account_count(struct bb_records *r, uint64_t account,
			      uint32_t n)
{
	if (n)
		g_hash_table_replace(r->account_counts,
				     g_memdup2(&account, sizeof(account)),
				     GUINT_TO_POINTER(n));
	else
		g_hash_table_remove(r->account_counts, &account);
}

static void remove_record(struct bb_records *r, struct record *rec)
{
	r->body_bytes -= rec->type_size + rec->body_size;
	set_account_count(r, rec->account_hash,
			  account_count(r, rec->account_hash) - 1);
	g_queue_unlink(&r->expiry_queue, &rec->link);
	g_hash_table_remove(r->records, rec->key_hash);
}

static bool expired(const struct bb_records *r, const struct record *rec,
		    int64_t now_us)
{
	return now_us - rec->begun_us > window_us(r);
}

struct record *bb_records_find(struct bb_records *r, const uint8_t *key_hash,
			       int64_t now_us)
{
	struct record *rec = g_hash_table_lookup(r->records, key_hash);

	if (rec && expired(r, rec, now_us)) {
		remove_record(r, rec);
		return NULL;
	}
	return rec;
}

struct record *bb_records_add(struct bb_records *r, const uint8_t *key_hash,
			      uint64_t account_hash, bool enforce_limits)
{
	uint32_t n = account_count(r, account_hash);
	struct record *rec;

	if (enforce_limits && (r->expiry_queue.length >= r->o.records_max ||
			       n >= r->o.account_records_max)) {
		r->limit_refusals++;
		return NULL;
	}
	rec = g_new0(struct record, 1);
	memcpy(rec->key_hash, key_hash, sizeof(rec->key_hash));
	rec->account_hash = account_hash;
	rec->link.data = rec;
	g_hash_table_insert(r->records, rec->key_hash, rec);
	g_queue_push_tail_link(&r->expiry_queue, &rec->link);
	set_account_count(r, account_hash, n + 1);
	return rec;
}

void bb_records_store(struct bb_records *r, struct record *rec,
		      const struct bb_outcome *outcome)
{
	size_t size = outcome->content_type.size + outcome->body.size;

	r->body_bytes -= rec->type_size + rec->body_size;
	g_clear_pointer(&rec->bytes, g_free);
	rec->type_size = rec->body_size = 0;
	rec->status = BB_RECORD_STATUS_NOT_KEPT;
	if (size > r->o.body_max || r->body_bytes + size > r->o.body_bytes_max)
		return;
	rec->status = outcome->status;
	if (!size)
		return;
	rec->type_size = (uint32_t)outcome->content_type.size;
	rec->body_size = (uint32_t)outcome->body.size;
	rec->bytes = g_malloc(size);
	if (rec->type_size)
		memcpy(rec->bytes, outcome->content_type.data, rec->type_size);
	if (rec->body_size)
		memcpy(rec->bytes + rec->type_size, outcome->body.data,
		       rec->body_size);
	r->body_bytes += size;
}

struct bb_outcome bb_record_outcome(const struct record *rec)
{
	struct bb_outcome o = { .verdict = BB_VERDICT_MAY_HAVE_RUN };

	if (rec->kind != RECORD_DONE)
		return o;
	o.verdict = BB_VERDICT_RAN;
	o.status = rec->status;
	o.content_type.data = rec->bytes;
	o.content_type.size = rec->type_size;
	o.body.data = rec->bytes ? rec->bytes + rec->type_size : NULL;
	o.body.size = rec->body_size;
	return o;
}

static void drop_incoming(struct group *g)
{
	bb_records_incoming_delete(g->incoming);
	g->incoming = NULL;
}

/* Whether the majority was held at all times since the last check. */
static bool held_without_gap(const struct bb_records *r, uint32_t group,
			     int64_t now_us)
{
	int64_t since_us = r->groups[group].checked_us;

	if (!r->o.seats_held_since)
		return now_us - since_us <= r->o.check_gap_max_us;
	return 2 * r->o.seats_held_since(r->o.data, group, since_us, now_us) >
	       r->o.seats;
}

/* Whether the coverage from before a gap remains valid. Let W be the window.
 * This node held the majority without a gap for W up to the last check, and the
 * gap is shorter than W. Any other holder inside the gap had been without the
 * majority for more than W before, so it started uncovered and needed W to
 * answer "new". The proof in docs/decisions/idempotency-keys.md relies on exact
 * knowledge of gaps, that is on seats_held_since. */
static bool gap_keeps_coverage(const struct bb_records *r,
			       const struct group *g, int64_t now_us)
{
	int64_t margin_us = 2 * r->o.window_us * DRIFT_PERCENT / 100;

	return g->checked && r->o.seats_held_since &&
	       g->checked_us - g->held_since_us >= window_us(r) &&
	       now_us - g->checked_us < r->o.window_us - margin_us;
}

bool bb_records_check_held(struct bb_records *r, uint32_t group, int64_t now_us)
{
	struct group *g = &r->groups[group];
	bool was_held = g->held;

	g->held = 2 * r->o.seats_held(r->o.data, group, now_us) > r->o.seats;
	if (!g->held) {
		/* The records are kept: they remain valid. */
		if (was_held)
			drop_incoming(g);
		return false;
	}
	if (!was_held || !held_without_gap(r, group, now_us)) {
		if (was_held)
			drop_incoming(g);
		if (!gap_keeps_coverage(r, g, now_us))
			g->covered_since_us = now_us;
		g->held_since_us = now_us;
		bb_records_apply_coverage(r, group);
	}
	g->checked = true;
	g->checked_us = now_us;
	return g->outgoing != OUTGOING_SENT;
}

bool bb_records_covered(const struct bb_records *r, uint32_t group,
			int64_t now_us)
{
	return now_us - r->groups[group].covered_since_us >= window_us(r);
}

void bb_records_configure(struct bb_records *r, uint32_t seats, int64_t window,
			  int64_t now_us)
{
	int64_t old_window_us = window_us(r);

	for (uint32_t i = 0; i < r->o.groups && window != r->o.window_us; i++) {
		struct group *g = &r->groups[i];

		/* Records older than the former window may have expired. */
		if (window > r->o.window_us)
			g->covered_since_us = MAX(g->covered_since_us,
						  now_us - old_window_us);
		/* Other nodes may still use the former window. */
		g->held_since_us = now_us;
	}
	r->o.seats = seats;
	r->o.window_us = window;
}

void bb_records_tick(struct bb_records *r, int64_t now_us)
{
	struct record *rec;

	for (uint32_t i = 0; i < r->o.groups; i++) {
		bb_records_check_held(r, i, now_us);
		bb_records_transfer_tick(r, i, now_us);
	}
	/* Records that came by a transfer may be queued behind younger ones,
	 * which delays their removal by one window at most. */
	while ((rec = g_queue_peek_head(&r->expiry_queue)) &&
	       expired(r, rec, now_us))
		remove_record(r, rec);
}

enum bb_record_state bb_record_state(const struct record *rec, int64_t now_us)
{
	switch (rec->kind) {
	case RECORD_RUNNING:
		return now_us <= rec->deadline_us ? BB_RECORD_IN_PROGRESS :
						    BB_RECORD_MAY_HAVE_RUN;
	case RECORD_DONE:
		return BB_RECORD_DONE;
	case RECORD_UNCERTAIN:
		return BB_RECORD_MAY_HAVE_RUN;
	case RECORD_NOT_RUN:
		break;
	}
	return BB_RECORD_ABSENT;
}

static bool same_id(const struct bb_request_id *a,
		    const struct bb_request_id *b)
{
	return a->incarnation == b->incarnation && a->sequence == b->sequence;
}

/* State of a key, without starting an attempt. */
static enum bb_record_state known_state(struct bb_records *r,
					const struct bb_message_record *m,
					const struct record *rec,
					int64_t now_us)
{
	enum bb_record_state s = BB_RECORD_ABSENT;

	if (rec)
		s = bb_record_state(rec, now_us);
	if (s == BB_RECORD_ABSENT)
		return bb_records_covered(r, m->group, now_us) ?
			       BB_RECORD_ABSENT :
			       BB_RECORD_MAY_HAVE_RUN;
	if (rec->fingerprint != m->fingerprint && m->action == BB_RECORD_BEGIN)
		return BB_RECORD_MISMATCH;
	return s;
}

static enum bb_record_state begin(struct bb_records *r,
				  const struct bb_message_record *m,
				  struct record *rec, int64_t now_us)
{
	enum bb_record_state s = known_state(r, m, rec, now_us);
	int64_t timeout_us = m->timeout_ms * BB_US_PER_MS;

	if (rec && same_id(&rec->id, &m->id)) {
		/* The answer was lost, or the message is a late duplicate. */
		if (rec->kind == RECORD_NOT_RUN)
			return BB_RECORD_UNAVAILABLE;
		return s == BB_RECORD_IN_PROGRESS ? BB_RECORD_NEW : s;
	}
	if (s != BB_RECORD_ABSENT)
		return s;
	if (!rec)
		rec = bb_records_add(r, m->key_hash, m->account_hash, true);
	if (!rec)
		return BB_RECORD_UNAVAILABLE;
	rec->id = m->id;
	rec->fingerprint = m->fingerprint;
	rec->group = m->group;
	rec->kind = RECORD_RUNNING;
	rec->begun_us = now_us;
	rec->deadline_us =
		now_us + (timeout_us ? timeout_us : DEFAULT_TIMEOUT_US);
	/* Keeps the expiry queue in the order of begun_us. */
	g_queue_unlink(&r->expiry_queue, &rec->link);
	g_queue_push_tail_link(&r->expiry_queue, &rec->link);
	return BB_RECORD_NEW;
}

/* Adds a record for a reported outcome of an attempt that was begun at another
 * holder: the outcome is true whoever reports it, and saves the caller an
 * uncertain answer. "Not run" is recorded as well, so that a late duplicate of
 * the BEGIN does not start the attempt. */
static struct record *adopt_attempt(struct bb_records *r,
				    const struct bb_message_record *m,
				    int64_t now_us)
{
	struct record *rec;

	if (bb_records_covered(r, m->group, now_us) &&
	    m->outcome.verdict != BB_VERDICT_NOT_RUN)
		return NULL;
	rec = bb_records_add(r, m->key_hash, m->account_hash, true);
	if (!rec)
		return NULL;
	rec->id = m->id;
	rec->fingerprint = m->fingerprint;
	rec->group = m->group;
	rec->begun_us = now_us;
	rec->kind = RECORD_UNCERTAIN;
	return rec;
}

static void finish(struct bb_records *r, const struct bb_message_record *m,
		   struct record *rec)
{
	/* Late duplicates and reports of attempts that were not answered "new"
	 * change nothing. */
	if (!same_id(&rec->id, &m->id) || rec->kind == RECORD_DONE ||
	    rec->kind == RECORD_NOT_RUN)
		return;
	switch (m->outcome.verdict) {
	case BB_VERDICT_RAN:
		rec->kind = RECORD_DONE;
		bb_records_store(r, rec, &m->outcome);
		break;
	case BB_VERDICT_NOT_RUN:
		rec->kind = RECORD_NOT_RUN;
		break;
	default:
		rec->kind = RECORD_UNCERTAIN;
		break;
	}
}

static enum bb_record_state handle(struct bb_records *r,
				   const struct bb_message_record *m,
				   struct bb_outcome *outcome, int64_t now_us)
{
	enum bb_record_state s;
	struct record *rec;
	bool held;

	if (m->group >= r->o.groups)
		return BB_RECORD_UNAVAILABLE;
	held = bb_records_check_held(r, m->group, now_us);
	rec = bb_records_find(r, m->key_hash, now_us);
	if (m->action == BB_RECORD_FINISH) {
		if (!rec && held)
			rec = adopt_attempt(r, m, now_us);
		if (rec)
			finish(r, m, rec);
	}
	if (!held)
		return BB_RECORD_UNAVAILABLE;
	if (m->action == BB_RECORD_BEGIN)
		s = begin(r, m, rec, now_us);
	else
		s = known_state(r, m, rec, now_us);
	if (s == BB_RECORD_DONE)
		*outcome = bb_record_outcome(rec);
	return s;
}

void bb_records_handle(struct bb_records *r, const struct bb_message_record *m,
		       struct bb_message_record_reply *reply, int64_t now_us)
{
	memset(reply, 0, sizeof(*reply));
	reply->nonce = m->nonce;
	reply->id = m->id;
	reply->outcome.verdict = BB_VERDICT_MAY_HAVE_RUN;
	reply->state = handle(r, m, &reply->outcome, now_us);
}

void bb_records_receive(struct bb_records *r, uint32_t host,
			const struct bb_message *m, int64_t now_us)
{
	struct bb_message reply = { .type = BB_MESSAGE_RECORD_REPLY };

	if (m->type == BB_MESSAGE_RECORD) {
		bb_records_handle(r, &m->record, &reply.record_reply, now_us);
		r->o.send(r->o.send_data, host, &reply);
	} else if (m->type == BB_MESSAGE_RECORD_TRANSFER) {
		bb_records_transfer_receive(r, host, &m->record_transfer,
					    now_us);
	}
}

struct bb_records_stats bb_records_stats(struct bb_records *r, int64_t now_us)
{
	struct bb_records_stats s = {
		.records = r->expiry_queue.length,
		.body_bytes = r->body_bytes,
		.limit_refusals = r->limit_refusals,
	};

	for (uint32_t i = 0; i < r->o.groups; i++) {
		if (!bb_records_check_held(r, i, now_us))
			continue;
		s.groups_held++;
		s.groups_uncovered += !bb_records_covered(r, i, now_us);
	}
	return s;
}

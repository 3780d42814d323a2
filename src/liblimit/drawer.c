/* Draws under way, their messages and answers. */
#include "drawer_private.h"

#include <ck_pr.h>
#include <string.h>
#include <xxhash.h>

#include "baobabward/metrics.h"
#include "margin.h"

#define ACCOUNTS_MAX 8192
/* Time after which a draw counts as lost, and the host is left out then. */
#define LOST_US (150 * BB_US_PER_MS)
#define SILENT_US (1 * BB_US_PER_S)
/* Bound on the trust in a holder's hint: returns can make tokens free. */
#define RETRY_MOST_US (500 * BB_US_PER_MS)
/* A holder of which all tokens are drawn, but may be unspent, is asked again
 * after this time; the same is the least time for one whose share is new. */
#define DRAWN_US (50 * BB_US_PER_MS)
/* Part of a draw ahead at which tokens are drawn again. */
#define LOW_PART 4
/* Nothing is drawn ahead this long after the holder had too little. */
#define NOT_AHEAD_US (5 * BB_US_PER_S)
/* An account without tokens or spends is forgotten after this time. */
#define FORGET_US (10 * BB_US_PER_S)

/* A DRAW under way; @slots are in the order of its list. */
struct flight {
	uint64_t nonce;
	uint64_t host;
	int64_t sent_us;
	GPtrArray *slots;
};

static guint name_hash(gconstpointer p)
{
	return XXH3_64bits(p, strlen(p));
}

static void slot_delete(gpointer data)
{
	struct slot *s = data;

	g_free(s->name);
	g_free(s);
}

static void flight_delete(gpointer data)
{
	struct flight *f = data;

	g_ptr_array_free(f->slots, TRUE);
	g_free(f);
}

static void batch_delete(gpointer data)
{
	struct batch *b = data;

	g_array_free(b->draws, TRUE);
	g_array_free(b->pools, TRUE);
	if (b->slots)
		g_ptr_array_free(b->slots, TRUE);
	g_free(b);
}

struct bb_drawer *bb_drawer_new(const struct bb_drawer_options *o)
{
	struct bb_drawer *d = g_aligned_alloc0(1, sizeof(*d), 64);

	d->o = *o;
	if (!d->o.accounts_max)
		d->o.accounts_max = ACCOUNTS_MAX;
	if (!d->o.report_idle_us)
		d->o.report_idle_us = BB_DRAWER_REPORT_IDLE_US;
	d->self = XXH3_64bits(o->self, strlen(o->self));
	d->o.self = NULL;
	bb_drawer_forget_candidates(d);
	d->swept_us = INT64_MIN;
	d->silent = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  g_free);
	d->batches = g_ptr_array_new_with_free_func(batch_delete);
	g_queue_init(&d->flights);
	for (uint32_t i = 0; i < SHARDS; i++) {
		ck_spinlock_init(&d->shards[i].lock);
		d->shards[i].slots = g_hash_table_new_full(
			name_hash, g_str_equal, NULL, slot_delete);
		d->shards[i].due = g_ptr_array_new();
	}
	return d;
}

void bb_drawer_delete(struct bb_drawer *d)
{
	if (!d)
		return;
	for (uint32_t i = 0; i < SHARDS; i++) {
		g_hash_table_destroy(d->shards[i].slots);
		g_ptr_array_free(d->shards[i].due, TRUE);
	}
	g_queue_clear_full(&d->flights, flight_delete);
	g_ptr_array_free(d->batches, TRUE);
	g_hash_table_destroy(d->silent);
	bb_lease_map_unref(d->map);
	g_aligned_free(d);
}

void bb_drawer_set_config(struct bb_drawer *d, const struct bb_config *c,
			  struct bb_lease_map *m, int64_t now_us)
{
	(void)c;
	(void)now_us;
	bb_lease_map_ref(m);
	bb_lease_map_unref(d->map);
	d->map = m;
	bb_drawer_forget_candidates(d);
}

static void send_batch(struct bb_drawer *d, struct batch *b, int64_t now_us)
{
	struct bb_message m = { .type = BB_MESSAGE_DRAW };
	struct flight *f;

	m.draw.incarnation = d->o.incarnation;
	m.draw.nonce = ++d->nonce;
	m.draw.draws = (struct bb_draw *)(void *)b->draws->data;
	m.draw.draws_nr = b->draws->len;
	f = g_new0(struct flight, 1);
	f->nonce = d->nonce;
	f->host = b->id;
	f->sent_us = now_us;
	f->slots = g_steal_pointer(&b->slots);
	for (guint i = 0; i < b->pools->len; i++) {
		struct slot *s = g_ptr_array_index(f->slots, i);
		struct pool *p = g_array_index(b->pools, struct pool *, i);
		struct shard *shard = bb_drawer_shard(d, s->name);

		lock_shard(shard);
		if (p && p->draw == UINT64_MAX)
			p->draw = f->nonce;
		unlock_shard(shard);
	}
	g_queue_push_tail(&d->flights, f);
	bb_metrics_add(BB_METRIC_DRAWS, b->draws->len);
	d->o.send(d->o.data, b->host, &m);
}

static void send_batches(struct bb_drawer *d, int64_t now_us)
{
	GPtrArray *batches = d->batches;

	/* A send may call back into this module. */
	d->batches = g_ptr_array_new_with_free_func(batch_delete);
	for (guint i = 0; i < batches->len; i++)
		send_batch(d, g_ptr_array_index(batches, i), now_us);
	g_ptr_array_free(batches, TRUE);
}

static struct pool *find_draw(struct slot *s, uint64_t nonce)
{
	for (uint32_t i = 0; i < CANDIDATES; i++)
		if (s->pools[i].draw == nonce)
			return &s->pools[i];
	return NULL;
}

/* A draw without an answer: its host is left out for a while. */
static void give_up(struct bb_drawer *d, struct flight *f, int64_t now_us)
{
	bool any = false;

	for (guint i = 0; i < f->slots->len; i++) {
		struct slot *s = g_ptr_array_index(f->slots, i);
		struct shard *shard = bb_drawer_shard(d, s->name);
		struct pool *p;

		lock_shard(shard);
		p = find_draw(s, f->nonce);
		if (p) {
			p->draw = 0;
			if (s->waiting)
				bb_slot_queue(shard, s);
			any = true;
		}
		unlock_shard(shard);
	}
	if (any)
		g_hash_table_replace(d->silent,
				     g_memdup2(&f->host, sizeof(f->host)),
				     g_memdup2(&(int64_t){ now_us + SILENT_US },
					       sizeof(int64_t)));
}

static void give_up_lost(struct bb_drawer *d, int64_t now_us)
{
	struct flight *f;

	while ((f = g_queue_peek_head(&d->flights)) &&
	       now_us - f->sent_us > LOST_US) {
		g_queue_pop_head(&d->flights);
		give_up(d, f, now_us);
		flight_delete(f);
	}
}

static void decide_due(struct bb_drawer *d, struct shard *shard, int64_t now_us)
{
	for (guint i = 0; i < shard->due->len; i++) {
		struct slot *s = g_ptr_array_index(shard->due, i);

		s->queued = false;
		bb_drawer_decide(d, s, now_us);
	}
	g_ptr_array_set_size(shard->due, 0);
}

/* Whether no list, batch or flight can refer to the slot. */
static bool is_unused(const struct slot *s, int64_t now_us)
{
	/* A report is made before the tokens expire and lives a while. */
	for (uint32_t i = 0; i < CANDIDATES; i++)
		if (now_us < s->pools[i].until_us + 2 * LOST_US)
			return false;
	return now_us - s->last_us > FORGET_US && !bb_slot_under_way(s) &&
	       !s->queued;
}

static void sweep(struct bb_drawer *d, struct shard *shard, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shard->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bb_drawer_decide(d, value, now_us);
		bb_drawer_report(d, value, false, now_us);
		if (!is_unused(value, now_us))
			continue;
		g_hash_table_iter_remove(&iter);
		ck_pr_dec_uint(&d->accounts);
	}
}

void bb_drawer_tick(struct bb_drawer *d, int64_t now_us)
{
	bool full = d->swept_us == INT64_MIN || now_us < d->swept_us ||
		    now_us - d->swept_us >= SWEEP_US ||
		    d->o.report_idle_us == 1;

	if (!d->map)
		return;
	give_up_lost(d, now_us);
	if (full)
		d->swept_us = now_us;
	for (uint32_t i = 0; i < SHARDS; i++) {
		struct shard *shard = &d->shards[i];

		lock_shard(shard);
		decide_due(d, shard, now_us);
		if (full)
			sweep(d, shard, now_us);
		unlock_shard(shard);
	}
	send_batches(d, now_us);
}

/* Notes why and until when a holder has no more tokens. */
static void take_hint(struct pool *p, uint32_t retry_ms, int64_t now_us)
{
	int64_t wait_us = (int64_t)retry_ms * BB_US_PER_MS;

	p->drawn = retry_ms == 1;
	p->coming = 0;
	if (p->drawn)
		wait_us = DRAWN_US;
	if (retry_ms > BB_DRAW_RETRY_NEW_SHARE_BASE) {
		p->coming = retry_ms - BB_DRAW_RETRY_NEW_SHARE_BASE;
		wait_us = MAX(BB_DRAW_WAIT_MAX_US / p->coming, DRAWN_US);
	}
	p->empty_us = now_us + MIN(wait_us, RETRY_MOST_US);
}

static void take_grant(struct slot *s, struct pool *p, uint64_t incarnation,
		       int64_t sent_us, int64_t until_us,
		       const struct bb_draw_grant *grant, int64_t now_us)
{
	bb_slot_expire(s, now_us);
	if (p->ahead)
		p->plenty = grant->valid_ms > SHORT_VALID_MS;
	if (p->ahead && !p->plenty)
		p->ahead_us = now_us + NOT_AHEAD_US;
	p->draw = 0;
	if (grant->valid_ms) {
		s->scarce = grant->valid_ms < SHORT_VALID_MS;
		/* Tokens of an earlier process of the holder can't be
		 * extended: this one does not count them. */
		if (p->incarnation != incarnation)
			p->tokens = 0;
		p->incarnation = incarnation;
		p->tokens += grant->granted;
		p->top = p->tokens;
		p->from_us = sent_us;
		p->until_us = until_us;
		p->falling = grant->valid_ms > SHORT_VALID_MS;
		bb_slot_expire(s, now_us);
		if (p->ahead)
			s->low = bb_slot_tokens(s) / LOW_PART;
	}
	p->not_holder_us = INT64_MIN;
	if (grant->retry_ms)
		take_hint(p, grant->retry_ms, now_us);
	else if (!grant->valid_ms)
		p->not_holder_us = now_us + NOT_HOLDER_US;
}

static void receive_grant(struct bb_drawer *d, struct flight *f, struct slot *s,
			  uint64_t incarnation,
			  const struct bb_draw_grant *grant, int64_t now_us)
{
	struct shard *shard = bb_drawer_shard(d, s->name);
	int64_t valid_us = (int64_t)grant->valid_ms * BB_US_PER_MS;
	int64_t until_us =
		f->sent_us + bb_margin_shorten(valid_us, d->o.drift_ppm);
	struct pool *p;

	lock_shard(shard);
	p = find_draw(s, f->nonce);
	if (p) {
		take_grant(s, p, incarnation, f->sent_us, until_us, grant,
			   now_us);
		/* The rest comes from another holder, or is refused. */
		bb_drawer_decide(d, s, now_us);
	}
	unlock_shard(shard);
}

void bb_drawer_receive(struct bb_drawer *d, uint32_t from_host,
		       const struct bb_message *m, int64_t now_us)
{
	const struct bb_message_draw_grant *r = &m->draw_grant;
	struct flight *f = NULL;
	GList *link;

	if (m->type != BB_MESSAGE_DRAW_GRANT || !d->map)
		return;
	for (link = d->flights.head; link; link = link->next) {
		f = link->data;
		if (f->nonce == r->nonce)
			break;
	}
	if (!link || f->host != bb_lease_map_host_id(d->map, from_host) ||
	    r->grants_nr != f->slots->len)
		return;
	g_queue_delete_link(&d->flights, link);
	for (guint i = 0; i < f->slots->len; i++)
		receive_grant(d, f, g_ptr_array_index(f->slots, i),
			      r->incarnation, &r->grants[i], now_us);
	flight_delete(f);
	send_batches(d, now_us);
}

void bb_drawer_return_tokens(struct bb_drawer *d, int64_t now_us)
{
	if (!d->map)
		return;
	for (uint32_t i = 0; i < SHARDS; i++) {
		struct shard *shard = &d->shards[i];
		GHashTableIter iter;
		gpointer value;

		lock_shard(shard);
		g_hash_table_iter_init(&iter, shard->slots);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			bb_slot_expire(value, now_us);
			bb_drawer_report(d, value, true, now_us);
		}
		unlock_shard(shard);
	}
	send_batches(d, now_us);
}

size_t bb_drawer_accounts(struct bb_drawer *d)
{
	return ck_pr_load_uint(&d->accounts);
}

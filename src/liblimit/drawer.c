/*
 * Control-thread side of the drawer: sends draws, applies their answers and
 * times them out. An account stays in its shard while a list, a batch or a
 * pending draw refers to it.
 */
#include "drawer_private.h"

#include <ck_pr.h>
#include <string.h>
#include <xxhash.h>

#include "baobabward/metrics.h"
#include "margin.h"

#define ACCOUNTS_MAX 8192
/* Time after which a draw without an answer counts as lost. */
#define DRAW_TIMEOUT_US (150 * BB_US_PER_MS)
/*
 * Time after which no answer to a draw is expected any more. With the policy
 * rank_order an answer after DRAW_TIMEOUT_US is still used: a node with a tenth
 * of a core may stall for more than that, and its tokens would be lost.
 */
#define LATE_ANSWER_US (1 * BB_US_PER_S)
/* Time for which a host that did not answer a draw is not asked again. */
#define SILENT_HOST_BACKOFF_US (1 * BB_US_PER_S)
/* Longest time for which a holder's retry hint is followed: tokens that are
 * returned to it may become available earlier. */
#define RETRY_HINT_MAX_US (500 * BB_US_PER_MS)
/* A holder whose tokens are all drawn, but may be unspent, is asked again after
 * this time. For a holder with a new share it is the shortest such time. */
#define ALL_DRAWN_RETRY_US (50 * BB_US_PER_MS)
/* Tokens are prefetched again when one part in this many of those held after
 * the last prefetch is left. */
#define PREFETCH_BELOW_DIVISOR 4
/* Nothing is prefetched from a holder for this time after it had too few
 * tokens for a prefetch. */
#define PREFETCH_PAUSE_US (5 * BB_US_PER_S)
/* An account without valid tokens is removed from the table when it had no
 * spend for this time. */
#define ACCOUNT_IDLE_US (10 * BB_US_PER_S)

/* A DRAW message that waits for an answer; @accounts are in the order of its
 * list. */
struct pending_draw {
	uint64_t nonce;
	uint64_t host;
	int64_t sent_us;
	GPtrArray *accounts;
};

static guint name_hash(gconstpointer p)
{
	return XXH3_64bits(p, strlen(p));
}

static void local_account_delete(gpointer data)
{
	struct local_account *a = data;

	g_free(a->name);
	g_free(a);
}

static void pending_draw_delete(gpointer data)
{
	struct pending_draw *pending = data;

	g_ptr_array_free(pending->accounts, TRUE);
	g_free(pending);
}

static void batch_delete(gpointer data)
{
	struct draw_batch *b = data;

	g_array_free(b->draws, TRUE);
	g_array_free(b->pools, TRUE);
	if (b->accounts)
		g_ptr_array_free(b->accounts, TRUE);
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
	d->late_hosts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, g_free);
	d->batches = g_ptr_array_new_with_free_func(batch_delete);
	g_queue_init(&d->pending_draws);
	g_queue_init(&d->late_draws);
	for (uint32_t i = 0; i < SHARDS; i++) {
		pthread_mutex_init(&d->shards[i].lock, NULL);
		d->shards[i].accounts = g_hash_table_new_full(
			name_hash, g_str_equal, NULL, local_account_delete);
		d->shards[i].due = g_ptr_array_new();
	}
	return d;
}

void bb_drawer_delete(struct bb_drawer *d)
{
	if (!d)
		return;
	for (uint32_t i = 0; i < SHARDS; i++) {
		pthread_mutex_destroy(&d->shards[i].lock);
		g_hash_table_destroy(d->shards[i].accounts);
		g_ptr_array_free(d->shards[i].due, TRUE);
	}
	g_queue_clear_full(&d->pending_draws, pending_draw_delete);
	g_queue_clear_full(&d->late_draws, pending_draw_delete);
	g_ptr_array_free(d->batches, TRUE);
	g_hash_table_destroy(d->silent);
	g_hash_table_destroy(d->late_hosts);
	bb_lease_map_unref(d->map);
	g_aligned_free(d);
}

void bb_drawer_set_config(struct bb_drawer *d, const struct bb_config *c,
			  struct bb_lease_map *m, int64_t now_us)
{
	(void)now_us;
	ck_pr_store_uint(&d->ranked, c->policies.rank_order);
	bb_lease_map_ref(m);
	bb_lease_map_unref(d->map);
	d->map = m;
	bb_drawer_forget_candidates(d);
}

static void send_batch(struct bb_drawer *d, struct draw_batch *b,
		       int64_t now_us)
{
	struct bb_message m = { .type = BB_MESSAGE_DRAW };
	struct pending_draw *pending;

	m.draw.incarnation = d->o.incarnation;
	m.draw.nonce = ++d->nonce;
	m.draw.draws = (struct bb_draw *)(void *)b->draws->data;
	m.draw.draws_nr = b->draws->len;
	pending = g_new0(struct pending_draw, 1);
	pending->nonce = d->nonce;
	pending->host = b->id;
	pending->sent_us = now_us;
	pending->accounts = g_steal_pointer(&b->accounts);
	for (guint i = 0; i < b->pools->len; i++) {
		struct local_account *a =
			g_ptr_array_index(pending->accounts, i);
		struct pool *p = g_array_index(b->pools, struct pool *, i);
		struct shard *shard = bb_drawer_shard(d, a->name);

		lock_shard(shard);
		if (p && p->draw_nonce == UINT64_MAX)
			p->draw_nonce = pending->nonce;
		unlock_shard(shard);
	}
	g_queue_push_tail(&d->pending_draws, pending);
	bb_metrics_add(BB_METRIC_DRAWS, b->draws->len);
	d->o.send(d->o.data, b->host, &m);
}

static void send_batches(struct bb_drawer *d, int64_t now_us)
{
	GPtrArray *batches = d->batches;

	/* The send callback may call back into this module. */
	d->batches = g_ptr_array_new_with_free_func(batch_delete);
	for (guint i = 0; i < batches->len; i++)
		send_batch(d, g_ptr_array_index(batches, i), now_us);
	g_ptr_array_free(batches, TRUE);
}

static struct pool *find_pool_of_draw(struct local_account *a, uint64_t nonce)
{
	for (uint32_t i = 0; i < CANDIDATES_MAX; i++)
		if (a->pools[i].draw_nonce == nonce ||
		    a->pools[i].late_nonce == nonce)
			return &a->pools[i];
	return NULL;
}

static void set_time(GHashTable *times, uint64_t host, int64_t us)
{
	g_hash_table_replace(times, g_memdup2(&host, sizeof(host)),
			     g_memdup2(&us, sizeof(us)));
}

/* Ends a draw without an answer, and asks its host no more for a while. Returns
 * whether its answer would still be used. */
static bool time_out_draw(struct bb_drawer *d, struct pending_draw *pending,
			  int64_t now_us)
{
	bool any = false;

	for (guint i = 0; i < pending->accounts->len; i++) {
		struct local_account *a =
			g_ptr_array_index(pending->accounts, i);
		struct shard *shard = bb_drawer_shard(d, a->name);
		struct pool *p;

		lock_shard(shard);
		p = find_pool_of_draw(a, pending->nonce);
		if (p) {
			p->draw_nonce = 0;
			p->late_nonce = ck_pr_load_uint(&d->ranked) ?
						pending->nonce :
						0;
			if (a->waiting)
				bb_local_account_queue(shard, a);
			any = true;
		}
		unlock_shard(shard);
	}
	if (any)
		set_time(d->silent, pending->host,
			 now_us + SILENT_HOST_BACKOFF_US);
	return any && ck_pr_load_uint(&d->ranked);
}

static void forget_late_draw(struct bb_drawer *d, struct pending_draw *pending)
{
	for (guint i = 0; i < pending->accounts->len; i++) {
		struct local_account *a =
			g_ptr_array_index(pending->accounts, i);
		struct shard *shard = bb_drawer_shard(d, a->name);
		struct pool *p;

		lock_shard(shard);
		p = find_pool_of_draw(a, pending->nonce);
		if (p)
			p->late_nonce = 0;
		unlock_shard(shard);
	}
	pending_draw_delete(pending);
}

static void time_out_draws(struct bb_drawer *d, int64_t now_us)
{
	struct pending_draw *pending;

	while ((pending = g_queue_peek_head(&d->pending_draws)) &&
	       now_us - pending->sent_us > DRAW_TIMEOUT_US) {
		g_queue_pop_head(&d->pending_draws);
		if (time_out_draw(d, pending, now_us))
			g_queue_push_tail(&d->late_draws, pending);
		else
			pending_draw_delete(pending);
	}
	while ((pending = g_queue_peek_head(&d->late_draws)) &&
	       now_us - pending->sent_us > LATE_ANSWER_US)
		forget_late_draw(d, g_queue_pop_head(&d->late_draws));
}

static void draw_for_due_accounts(struct bb_drawer *d, struct shard *shard,
				  int64_t now_us)
{
	for (guint i = 0; i < shard->due->len; i++) {
		struct local_account *a = g_ptr_array_index(shard->due, i);

		a->queued = false;
		bb_drawer_draw_if_needed(d, a, now_us);
	}
	g_ptr_array_set_size(shard->due, 0);
}

/* Whether no list, batch or pending draw can refer to the account. */
static bool is_unused(const struct local_account *a, int64_t now_us)
{
	/* A report is sent before the tokens expire, and then stays in
	 * pending_draws until it times out. */
	for (uint32_t i = 0; i < CANDIDATES_MAX; i++)
		if (now_us <
		    a->pools[i].until_us + DRAW_TIMEOUT_US + LATE_ANSWER_US)
			return false;
	return now_us - a->last_spend_us > ACCOUNT_IDLE_US &&
	       !bb_local_account_draw_pending(a) && !a->queued;
}

static void sweep(struct bb_drawer *d, struct shard *shard, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shard->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bb_drawer_draw_if_needed(d, value, now_us);
		bb_drawer_report_account(d, value, false, now_us);
		if (!is_unused(value, now_us))
			continue;
		g_hash_table_iter_remove(&iter);
		ck_pr_dec_uint(&d->accounts_nr);
	}
}

void bb_drawer_tick(struct bb_drawer *d, int64_t now_us)
{
	bool full = d->swept_us == INT64_MIN || now_us < d->swept_us ||
		    now_us - d->swept_us >= SWEEP_INTERVAL_US ||
		    d->o.report_idle_us == 1;

	if (!d->map)
		return;
	time_out_draws(d, now_us);
	if (full)
		d->swept_us = now_us;
	for (uint32_t i = 0; i < SHARDS; i++) {
		struct shard *shard = &d->shards[i];

		lock_shard(shard);
		draw_for_due_accounts(d, shard, now_us);
		if (full)
			sweep(d, shard, now_us);
		unlock_shard(shard);
	}
	send_batches(d, now_us);
}

/* Records why and until when a holder has no more tokens. Returns whether the
 * account has spent all. */
static bool apply_retry_hint(struct pool *p, uint32_t retry_ms, int64_t now_us)
{
	int64_t wait_us = (int64_t)retry_ms * BB_US_PER_MS;

	p->all_drawn = retry_ms == 1;
	p->expected_tokens = 0;
	if (p->all_drawn)
		wait_us = ALL_DRAWN_RETRY_US;
	if (retry_ms > BB_DRAW_RETRY_NEW_SHARE_BASE) {
		p->expected_tokens = retry_ms - BB_DRAW_RETRY_NEW_SHARE_BASE;
		wait_us = MAX(BB_DRAW_WAIT_MAX_US / p->expected_tokens,
			      ALL_DRAWN_RETRY_US);
	}
	p->empty_until_us = now_us + MIN(wait_us, RETRY_HINT_MAX_US);
	return !p->all_drawn && !p->expected_tokens;
}

/* Returns whether the holder answered that the account has spent all. */
static bool apply_grant(struct local_account *a, struct pool *p,
			uint64_t incarnation, int64_t sent_us, int64_t until_us,
			const struct bb_draw_grant *grant, int64_t now_us)
{
	bb_local_account_expire(a, now_us);
	if (p->prefetch)
		p->prefetch_granted = grant->valid_ms > SHORT_VALID_MS;
	if (p->prefetch && !p->prefetch_granted)
		p->prefetch_after_us = now_us + PREFETCH_PAUSE_US;
	p->draw_nonce = p->late_nonce = 0;
	if (grant->valid_ms) {
		a->scarce = grant->valid_ms < SHORT_VALID_MS;
		/* Tokens granted by an earlier process of the holder can't be
		 * extended: the new process does not count them. */
		if (p->incarnation != incarnation)
			p->tokens = 0;
		p->incarnation = incarnation;
		p->tokens += grant->granted;
		p->from_tokens = p->tokens;
		p->from_us = sent_us;
		p->until_us = until_us;
		p->expires_linearly = grant->valid_ms > SHORT_VALID_MS;
		bb_local_account_expire(a, now_us);
		if (p->prefetch)
			a->prefetch_below = bb_local_account_tokens(a) /
					    PREFETCH_BELOW_DIVISOR;
	}
	p->not_holder_until_us = INT64_MIN;
	if (grant->retry_ms)
		return apply_retry_hint(p, grant->retry_ms, now_us);
	if (!grant->valid_ms)
		p->not_holder_until_us = now_us + NOT_HOLDER_BACKOFF_US;
	return false;
}

/* Whether one of the holders that the account drew from answers late. */
static bool has_stalling_holder(const struct bb_drawer *d,
				const struct local_account *a, int64_t now_us)
{
	for (uint32_t i = 0; i < CANDIDATES_MAX; i++)
		if (bb_drawer_is_stalling(d, a->pools[i].host, now_us))
			return true;
	return false;
}

static void receive_grant(struct bb_drawer *d, struct pending_draw *pending,
			  struct local_account *a, uint64_t incarnation,
			  const struct bb_draw_grant *grant, int64_t now_us)
{
	struct shard *shard = bb_drawer_shard(d, a->name);
	int64_t valid_us = (int64_t)grant->valid_ms * BB_US_PER_MS;
	int64_t until_us =
		pending->sent_us + bb_margin_shorten(valid_us, d->o.drift_ppm);
	struct pool *p;

	lock_shard(shard);
	p = find_pool_of_draw(a, pending->nonce);
	if (p) {
		bool told_empty = apply_grant(a, p, incarnation,
					      pending->sent_us, until_us, grant,
					      now_us);

		if (told_empty && !has_stalling_holder(d, a, now_us))
			a->told_empty_us = now_us;
		/* What is missing is drawn from another holder, or the
		 * requests are refused. */
		bb_drawer_draw_if_needed(d, a, now_us);
	}
	unlock_shard(shard);
}

static GList *find_draw(GQueue *draws, uint64_t nonce)
{
	for (GList *l = draws->head; l; l = l->next)
		if (((const struct pending_draw *)l->data)->nonce == nonce)
			return l;
	return NULL;
}

void bb_drawer_receive(struct bb_drawer *d, uint32_t from_host,
		       const struct bb_message *m, int64_t now_us)
{
	const struct bb_message_draw_grant *r = &m->draw_grant;
	GQueue *draws = &d->pending_draws;
	struct pending_draw *pending;
	GList *link;

	if (m->type != BB_MESSAGE_DRAW_GRANT || !d->map)
		return;
	link = find_draw(draws, r->nonce);
	if (!link) {
		draws = &d->late_draws;
		link = find_draw(draws, r->nonce);
	}
	if (!link)
		return;
	pending = link->data;
	if (pending->host != bb_lease_map_host_id(d->map, from_host) ||
	    r->grants_nr != pending->accounts->len)
		return;
	g_queue_delete_link(draws, link);
	if (draws == &d->late_draws) {
		g_hash_table_remove(d->silent, &pending->host);
		set_time(d->late_hosts, pending->host, now_us);
		bb_metrics_add(BB_METRIC_DRAWS_LATE, 1);
	}
	for (guint i = 0; i < pending->accounts->len; i++)
		receive_grant(d, pending,
			      g_ptr_array_index(pending->accounts, i),
			      r->incarnation, &r->grants[i], now_us);
	pending_draw_delete(pending);
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
		g_hash_table_iter_init(&iter, shard->accounts);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			bb_local_account_expire(value, now_us);
			bb_drawer_report_account(d, value, true, now_us);
		}
		unlock_shard(shard);
	}
	send_batches(d, now_us);
}

size_t bb_drawer_accounts(struct bb_drawer *d)
{
	return ck_pr_load_uint(&d->accounts_nr);
}

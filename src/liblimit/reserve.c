/*
 * One token bucket for each client account, which refills at this node's part
 * of the reserve. A full bucket never holds more than that part of the burst,
 * or one token if that is more.
 */
#include "baobabward/reserve.h"

#include <glib.h>

#include "baobabward/clock.h"

/* Least capacity of a bucket, and its level at first: a node can always spend
 * one token after a pause. */
#define BUCKET_MIN_TOKENS 1.0
/* Most accounts with a bucket. If one more is used, all buckets start anew. */
#define ACCOUNTS_MAX 8192u

/* Reserve of one account, filled up to @filled_us. */
struct reserve_bucket {
	double tokens;
	int64_t filled_us;
};

struct bb_reserve {
	GHashTable *buckets;
};

struct bb_reserve *bb_reserve_new(void)
{
	struct bb_reserve *r = g_new0(struct bb_reserve, 1);

	r->buckets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return r;
}

void bb_reserve_delete(struct bb_reserve *r)
{
	if (!r)
		return;
	g_hash_table_destroy(r->buckets);
	g_free(r);
}

static struct reserve_bucket *get_bucket(struct bb_reserve *r,
					 const char *account, int64_t now_us)
{
	struct reserve_bucket *b = g_hash_table_lookup(r->buckets, account);

	if (b)
		return b;
	if (g_hash_table_size(r->buckets) >= ACCOUNTS_MAX)
		g_hash_table_remove_all(r->buckets);
	b = g_new0(struct reserve_bucket, 1);
	b->tokens = BUCKET_MIN_TOKENS;
	b->filled_us = now_us;
	g_hash_table_insert(r->buckets, g_strdup(account), b);
	return b;
}

bool bb_reserve_spend(struct bb_reserve *r, const struct bb_account *a,
		      size_t hosts, int64_t now_us)
{
	struct reserve_bucket *b = get_bucket(r, a->name, now_us);
	double node_share = BB_RESERVE_PERCENT / 100.0 / (double)MAX(hosts, 1);
	double capacity = MAX(BUCKET_MIN_TOKENS, a->burst * node_share);

	b->tokens += a->rate_per_s * node_share *
		     (double)(now_us - b->filled_us) / BB_US_PER_S;
	b->tokens = MIN(b->tokens, capacity);
	b->filled_us = now_us;
	if (b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}

#include "baobabward/reserve.h"

#include <glib.h>

#include "baobabward/clock.h"

/* Tokens that a reserve may save up: a node spends at least one at once. */
#define LEVEL_LEAST 1.0
/* Accounts that are remembered; the others start anew. */
#define ACCOUNTS_MAX 8192u

struct level {
	double tokens;
	int64_t filled_us;
};

struct bb_reserve {
	GHashTable *levels;
};

struct bb_reserve *bb_reserve_new(void)
{
	struct bb_reserve *r = g_new0(struct bb_reserve, 1);

	r->levels =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return r;
}

void bb_reserve_delete(struct bb_reserve *r)
{
	if (!r)
		return;
	g_hash_table_destroy(r->levels);
	g_free(r);
}

static struct level *get_level(struct bb_reserve *r, const char *account,
			       int64_t now_us)
{
	struct level *l = g_hash_table_lookup(r->levels, account);

	if (l)
		return l;
	if (g_hash_table_size(r->levels) >= ACCOUNTS_MAX)
		g_hash_table_remove_all(r->levels);
	l = g_new0(struct level, 1);
	l->tokens = LEVEL_LEAST;
	l->filled_us = now_us;
	g_hash_table_insert(r->levels, g_strdup(account), l);
	return l;
}

bool bb_reserve_spend(struct bb_reserve *r, const struct bb_account *a,
		      size_t hosts, int64_t now_us)
{
	struct level *l = get_level(r, a->name, now_us);
	double part = BB_RESERVE_PERCENT / 100.0 / (double)MAX(hosts, 1);
	double most = MAX(LEVEL_LEAST, a->burst * part);

	l->tokens += a->rate_per_s * part * (double)(now_us - l->filled_us) /
		     BB_US_PER_S;
	l->tokens = MIN(l->tokens, most);
	l->filled_us = now_us;
	if (l->tokens < 1)
		return false;
	l->tokens -= 1;
	return true;
}

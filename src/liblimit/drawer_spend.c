/*
 * Spending of drawn tokens, on any thread. No token is spent after the time
 * until which its holder counts it.
 */
#include "drawer_private.h"

#include <ck_pr.h>
#include <string.h>
#include <xxhash.h>

/* Time for which the answer that an account has spent all keeps its requests from
 * the reserve: as long as they may wait for another holder. */
#define TOLD_EMPTY_US (500 * BB_US_PER_MS)

struct shard *bb_drawer_shard(struct bb_drawer *d, const char *name)
{
	return &d->shards[(XXH3_64bits(name, strlen(name)) >> 32) % SHARDS];
}

/* Tokens that have not expired. Rounded down, while the holder rounds up, so
 * that the holder never counts fewer than may be spent here. */
static int64_t unexpired_tokens(const struct pool *p, int64_t now_us)
{
	if (now_us >= p->until_us)
		return 0;
	if (!p->expires_linearly || now_us <= p->from_us)
		return p->tokens;
	return (__int128)p->from_tokens * (p->until_us - now_us) /
	       (p->until_us - p->from_us);
}

void bb_local_account_expire(struct local_account *a, int64_t now_us)
{
	for (uint32_t i = 0; i < CANDIDATES_MAX; i++) {
		struct pool *p = &a->pools[i];
		int64_t unexpired;

		if (!p->tokens)
			continue;
		unexpired = unexpired_tokens(p, now_us);
		p->tokens = MIN(p->tokens, unexpired);
	}
}

int64_t bb_local_account_tokens(const struct local_account *a)
{
	int64_t sum = 0;

	for (uint32_t i = 0; i < CANDIDATES_MAX; i++)
		sum += a->pools[i].tokens;
	return sum;
}

/* Time at which the next tokens of the pool expire if none are spent before. */
static int64_t next_expiry_us(const struct pool *p)
{
	if (!p->expires_linearly)
		return p->until_us;
	return p->until_us -
	       (int64_t)((__int128)p->tokens * (p->until_us - p->from_us) /
			 p->from_tokens);
}

/* Takes one token, first from the pools whose tokens expire next. */
static void take_token(struct local_account *a)
{
	int64_t rest = BB_TOKEN;

	while (rest) {
		struct pool *first = NULL;
		int64_t n;

		for (uint32_t i = 0; i < CANDIDATES_MAX; i++) {
			struct pool *p = &a->pools[i];

			if (p->tokens &&
			    (!first ||
			     next_expiry_us(p) < next_expiry_us(first)))
				first = p;
		}
		n = MIN(rest, first->tokens);
		first->tokens -= n;
		first->spends_reported = false;
		rest -= n;
	}
}

static struct local_account *get_account(struct bb_drawer *d,
					 struct shard *shard,
					 const char *account, int64_t now_us)
{
	struct local_account *a = g_hash_table_lookup(shard->accounts, account);

	if (a)
		return a;
	if (ck_pr_faa_uint(&d->accounts_nr, 1) >= d->o.accounts_max) {
		ck_pr_dec_uint(&d->accounts_nr);
		return NULL;
	}
	a = g_new0(struct local_account, 1);
	a->name = g_strdup(account);
	a->group = bb_lease_group(account, strlen(account));
	a->demand_from_us = now_us;
	a->told_empty_us = INT64_MIN / 2;
	a->refuse_until_us = INT64_MIN;
	a->waiting_max_until_us = INT64_MIN;
	a->prefetch_below = INT64_MAX;
	for (uint32_t i = 0; i < CANDIDATES_MAX; i++) {
		a->pools[i].spends_reported = true;
		a->pools[i].prefetch_after_us = INT64_MIN;
		a->pools[i].empty_until_us = INT64_MIN;
		a->pools[i].not_holder_until_us = INT64_MIN;
	}
	g_hash_table_insert(shard->accounts, a->name, a);
	return a;
}

void bb_local_account_queue(struct shard *shard, struct local_account *a)
{
	if (a->queued)
		return;
	a->queued = true;
	g_ptr_array_add(shard->due, a);
}

static enum bb_spend_result spend(struct shard *shard, struct local_account *a,
				  bool waited, int64_t now_us,
				  int64_t *retry_us)
{
	if (waited && a->waiting)
		a->waiting--;
	/* Another thread that read the clock later may have been here first. */
	a->last_spend_us = MAX(a->last_spend_us, now_us);
	bb_local_account_expire(a, now_us);
	if (bb_local_account_tokens(a) >= BB_TOKEN) {
		take_token(a);
		a->spent += BB_TOKEN;
		return BB_SPEND_GRANTED;
	}
	if (now_us < a->refuse_until_us) {
		*retry_us = a->refuse_until_us - now_us;
		return BB_SPEND_REFUSED;
	}
	if (now_us < a->waiting_max_until_us && a->waiting >= a->waiting_max) {
		*retry_us = BB_DRAW_WAIT_MAX_US;
		return BB_SPEND_REFUSED;
	}
	a->waiting++;
	bb_local_account_queue(shard, a);
	return BB_SPEND_WAIT;
}

enum bb_spend_result bb_drawer_spend(struct bb_drawer *d, const char *account,
				     bool waited, int64_t now_us,
				     int64_t *retry_us)
{
	struct shard *shard = bb_drawer_shard(d, account);
	enum bb_spend_result result = BB_SPEND_REFUSED;
	int64_t retry = BB_US_PER_S;
	struct local_account *a;

	lock_shard(shard);
	a = get_account(d, shard, account, now_us);
	if (a)
		result = spend(shard, a, waited, now_us, &retry);
	unlock_shard(shard);
	if (retry_us)
		*retry_us = retry;
	return result;
}

void bb_drawer_cancel_wait(struct bb_drawer *d, const char *account)
{
	struct shard *shard = bb_drawer_shard(d, account);
	struct local_account *a;

	lock_shard(shard);
	a = g_hash_table_lookup(shard->accounts, account);
	if (a && a->waiting)
		a->waiting--;
	unlock_shard(shard);
}

bool bb_drawer_may_use_reserve(struct bb_drawer *d, const char *account,
			       int64_t now_us)
{
	struct shard *shard = bb_drawer_shard(d, account);
	const struct local_account *a;
	bool may = true;

	if (!ck_pr_load_uint(&d->ranked))
		return true;
	lock_shard(shard);
	a = g_hash_table_lookup(shard->accounts, account);
	if (a)
		may = now_us - a->told_empty_us >= TOLD_EMPTY_US;
	unlock_shard(shard);
	return may;
}

/* Spending of drawn tokens, on any thread. */
#include "drawer_private.h"

#include <ck_pr.h>
#include <string.h>
#include <xxhash.h>

struct shard *bb_drawer_shard(struct bb_drawer *d, const char *name)
{
	return &d->shards[(XXH3_64bits(name, strlen(name)) >> 32) % SHARDS];
}

/* Tokens that may still be spent; rounded down, the holder rounds up. */
static int64_t most_tokens(const struct pool *p, int64_t now_us)
{
	if (now_us >= p->until_us)
		return 0;
	if (!p->falling || now_us <= p->from_us)
		return p->tokens;
	return (__int128)p->top * (p->until_us - now_us) /
	       (p->until_us - p->from_us);
}

void bb_slot_expire(struct slot *s, int64_t now_us)
{
	for (uint32_t i = 0; i < CANDIDATES; i++) {
		struct pool *p = &s->pools[i];
		int64_t most;

		if (!p->tokens)
			continue;
		most = most_tokens(p, now_us);
		p->tokens = MIN(p->tokens, most);
	}
}

int64_t bb_slot_tokens(const struct slot *s)
{
	int64_t sum = 0;

	for (uint32_t i = 0; i < CANDIDATES; i++)
		sum += s->pools[i].tokens;
	return sum;
}

/* Time at which the pool loses its next token if none of it is spent. */
static int64_t loses_us(const struct pool *p)
{
	if (!p->falling)
		return p->until_us;
	return p->until_us - (int64_t)((__int128)p->tokens *
				       (p->until_us - p->from_us) / p->top);
}

/* Takes one token, from the pools that lose theirs first. */
static void take(struct slot *s)
{
	int64_t rest = BB_TOKEN;

	while (rest) {
		struct pool *first = NULL;
		int64_t n;

		for (uint32_t i = 0; i < CANDIDATES; i++) {
			struct pool *p = &s->pools[i];

			if (p->tokens &&
			    (!first || loses_us(p) < loses_us(first)))
				first = p;
		}
		n = MIN(rest, first->tokens);
		first->tokens -= n;
		first->reported = false;
		rest -= n;
	}
}

static struct slot *get_slot(struct bb_drawer *d, struct shard *shard,
			     const char *account, int64_t now_us)
{
	struct slot *s = g_hash_table_lookup(shard->slots, account);

	if (s)
		return s;
	if (ck_pr_faa_uint(&d->accounts, 1) >= d->o.accounts_max) {
		ck_pr_dec_uint(&d->accounts);
		return NULL;
	}
	s = g_new0(struct slot, 1);
	s->name = g_strdup(account);
	s->group = bb_lease_group(account, strlen(account));
	s->demand_us = now_us;
	s->refused_us = INT64_MIN;
	s->waiting_most_us = INT64_MIN;
	s->low = INT64_MAX;
	for (uint32_t i = 0; i < CANDIDATES; i++) {
		s->pools[i].reported = true;
		s->pools[i].ahead_us = INT64_MIN;
		s->pools[i].empty_us = INT64_MIN;
		s->pools[i].not_holder_us = INT64_MIN;
	}
	g_hash_table_insert(shard->slots, s->name, s);
	return s;
}

void bb_slot_queue(struct shard *shard, struct slot *s)
{
	if (s->queued)
		return;
	s->queued = true;
	g_ptr_array_add(shard->due, s);
}

static enum bb_spend_result spend(struct shard *shard, struct slot *s,
				  bool waited, int64_t now_us,
				  int64_t *retry_us)
{
	if (waited && s->waiting)
		s->waiting--;
	/* Another thread may have read the clock later and come first. */
	s->last_us = MAX(s->last_us, now_us);
	bb_slot_expire(s, now_us);
	if (bb_slot_tokens(s) >= BB_TOKEN) {
		take(s);
		s->spent += BB_TOKEN;
		return BB_SPEND_GRANTED;
	}
	if (now_us < s->refused_us) {
		*retry_us = s->refused_us - now_us;
		return BB_SPEND_REFUSED;
	}
	if (now_us < s->waiting_most_us && s->waiting >= s->waiting_most) {
		*retry_us = BB_DRAW_WAIT_MAX_US;
		return BB_SPEND_REFUSED;
	}
	s->waiting++;
	bb_slot_queue(shard, s);
	return BB_SPEND_WAIT;
}

enum bb_spend_result bb_drawer_spend(struct bb_drawer *d, const char *account,
				     bool waited, int64_t now_us,
				     int64_t *retry_us)
{
	struct shard *shard = bb_drawer_shard(d, account);
	enum bb_spend_result result = BB_SPEND_REFUSED;
	int64_t retry = BB_US_PER_S;
	struct slot *s;

	lock_shard(shard);
	s = get_slot(d, shard, account, now_us);
	if (s)
		result = spend(shard, s, waited, now_us, &retry);
	unlock_shard(shard);
	if (retry_us)
		*retry_us = retry;
	return result;
}

void bb_drawer_cancel_wait(struct bb_drawer *d, const char *account)
{
	struct shard *shard = bb_drawer_shard(d, account);
	struct slot *s;

	lock_shard(shard);
	s = g_hash_table_lookup(shard->slots, account);
	if (s && s->waiting)
		s->waiting--;
	unlock_shard(shard);
}

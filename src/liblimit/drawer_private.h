/*
 * State of the drawer, shared by its files. Each shard's lock guards the
 * accounts in that shard; everything else, except the
 * atomic accounts_nr, belongs to the control thread.
 */
#ifndef BB_LIMIT_DRAWER_PRIVATE_H
#define BB_LIMIT_DRAWER_PRIVATE_H

#include <glib.h>
#include <pthread.h>

#include "baobabward/clock.h"
#include "baobabward/limit.h"

/* Shards of the table of accounts, to spread contention for the locks. */
#define SHARDS 64
/* Hosts that may be asked for the tokens of one account. */
#define CANDIDATES_MAX 4
/* Interval at which all accounts are checked for due draws and reports. */
#define SWEEP_INTERVAL_US (100 * BB_US_PER_MS)
/* Time for which a host that answered that it does not hold the group is not
 * asked again. */
#define NOT_HOLDER_BACKOFF_US (3 * BB_US_PER_S)
/* Tokens with a longer validity expire linearly; see struct bb_draw_grant. */
#define SHORT_VALID_MS (BB_DRAW_VALID_SHORT_US / BB_US_PER_MS)

/*
 * Tokens of one account that were drawn from one holder; in micro-tokens.
 * @host: identifier of the holder, 0 if the pool is unused
 * @incarnation: process of the holder that granted @tokens
 * @until_us: time at which the last of @tokens expires
 * @expires_linearly: @tokens is limited by a line from @from_tokens at @from_us
 *                    to 0 at @until_us
 * @draw_nonce: nonce of the pending draw, 0 if none, UINT64_MAX until its
 *              message is sent
 * @late_nonce: nonce of the last draw if it timed out and its answer is still
 *              used, else 0; with the policy rank_order only
 * @prefetch: the pending draw asks for more than waiting requests need
 * @prefetch_after_us: nothing is prefetched from this holder before this time
 * @prefetch_granted: the last prefetch was granted more than one request needs
 * @spends_reported: false if tokens were spent since the last draw
 * @empty_until_us: the holder has no more tokens before this time
 * @all_drawn: the holder has no more because all its tokens are drawn; some of
 *             them may be unspent
 * @expected_tokens: whole tokens that the holder refills in
 *                   BB_DRAW_WAIT_MAX_US if its share is new, else 0
 * @not_holder_until_us: the host does not hold the group, and is not asked
 *                       before this time
 */
struct pool {
	uint64_t host;
	uint64_t incarnation;
	int64_t tokens;
	int64_t from_tokens;
	int64_t from_us;
	int64_t until_us;
	bool expires_linearly;
	uint64_t draw_nonce;
	uint64_t late_nonce;
	bool prefetch;
	int64_t prefetch_after_us;
	bool prefetch_granted;
	bool spends_reported;
	int64_t empty_until_us;
	bool all_drawn;
	uint32_t expected_tokens;
	int64_t not_holder_until_us;
};

/*
 * An account in use at this node and the tokens drawn for it; amounts in
 * micro-tokens.
 * @group: lease group of the account
 * @demand_rate: smoothed rate of spends, in micro-tokens per second
 * @demand_from_us: start of the interval in which @spent is counted
 * @waiting: number of requests that wait for a token
 * @queued: the account is in the list of due accounts of its shard
 * @next_holder: index of the candidate from which to prefetch next; the
 *               holders are asked in turn
 * @scarce: the last grant had a shorter validity because the holder's share of
 *          the burst has room for few tokens
 * @prefetch_below: amount of tokens below which more are prefetched
 * @told_empty_us: when a holder last answered that the account has spent all,
 *                 while no other one was known to answer late
 * @refuse_until_us: requests that find no token are refused before this time
 * @waiting_max: requests that may wait before @waiting_max_until_us
 */
struct local_account {
	char *name;
	uint32_t group;
	struct pool pools[CANDIDATES_MAX];
	int64_t demand_rate;
	int64_t demand_from_us;
	int64_t spent;
	uint32_t waiting;
	bool queued;
	uint32_t next_holder;
	bool scarce;
	int64_t prefetch_below;
	int64_t last_spend_us;
	int64_t told_empty_us;
	int64_t refuse_until_us;
	uint32_t waiting_max;
	int64_t waiting_max_until_us;
};

/*
 * Accounts whose names hash to one shard.
 * @due: accounts for which a draw is due; each is also in @accounts
 */
struct shard {
	pthread_mutex_t lock;
	GHashTable *accounts;
	GPtrArray *due;
} __attribute__((aligned(64)));

/*
 * A DRAW message that is being collected for one host. @draws, @accounts and
 * @pools have one entry for each account; the entry in @pools is NULL if no
 * answer is expected.
 */
struct draw_batch {
	uint32_t host;
	uint64_t id;
	GArray *draws;
	GPtrArray *accounts;
	GArray *pools;
};

/* Hosts that may hold a group, in the order in which they are asked. */
struct candidates {
	int64_t found_us;
	uint32_t nr;
	uint32_t hosts[CANDIDATES_MAX];
	uint64_t ids[CANDIDATES_MAX];
};

/*
 * State of one drawer.
 * @self: identifier of this host
 * @ranked: the configuration has the policy rank_order; atomic
 * @nonce: of the last message sent
 * @accounts_nr: number of accounts in all shards
 * @swept_us: time of the last check of all accounts
 * @silent: hosts that did not answer a draw, by identifier, with the time
 *          before which they are not asked again
 * @pending_draws: messages that wait for an answer, oldest first
 * @late_draws: messages that timed out and whose answers are still used, oldest
 *              first
 * @late_hosts: hosts that answered a draw after its time-out, by identifier,
 *              with the time of the last such answer
 * @batches: messages that are not sent yet
 */
struct bb_drawer {
	struct bb_drawer_options o;
	uint64_t self;
	struct bb_lease_map *map;
	unsigned int ranked;
	uint64_t nonce;
	unsigned int accounts_nr;
	int64_t swept_us;
	struct candidates candidates[BB_LEASE_GROUPS];
	GHashTable *silent;
	GQueue pending_draws;
	GQueue late_draws;
	GHashTable *late_hosts;
	GPtrArray *batches;
	struct shard shards[SHARDS];
};

/* The lock sleeps, as a thread may lose its core while it has it. */
static inline void lock_shard(struct shard *s)
{
	pthread_mutex_lock(&s->lock);
}

static inline void unlock_shard(struct shard *s)
{
	pthread_mutex_unlock(&s->lock);
}

/* Spending, on any thread. The shard is locked by the caller. */
struct shard *bb_drawer_shard(struct bb_drawer *d, const char *name);
void bb_local_account_expire(struct local_account *a, int64_t now_us);
int64_t bb_local_account_tokens(const struct local_account *a);
void bb_local_account_queue(struct shard *shard, struct local_account *a);

/* Choice of draws, on the control thread. Where an account is passed, its shard
 * is locked by the caller. */
bool bb_drawer_is_stalling(const struct bb_drawer *d, uint64_t host,
			   int64_t now_us);
bool bb_local_account_draw_pending(const struct local_account *a);
void bb_drawer_forget_candidates(struct bb_drawer *d);
void bb_drawer_report_account(struct bb_drawer *d, struct local_account *a,
			      bool stopping, int64_t now_us);
void bb_drawer_draw_if_needed(struct bb_drawer *d, struct local_account *a,
			      int64_t now_us);

#endif

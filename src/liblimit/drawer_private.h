/* State of the drawer, shared by its files. */
#ifndef BB_LIMIT_DRAWER_PRIVATE_H
#define BB_LIMIT_DRAWER_PRIVATE_H

#include <ck_spinlock.h>
#include <glib.h>

#include "baobabward/clock.h"
#include "baobabward/limit.h"

#if defined(__has_feature)
#if __has_feature(thread_sanitizer)
#define BB_TSAN 1
#endif
#endif
#ifdef __SANITIZE_THREAD__
#define BB_TSAN 1
#endif
#ifdef BB_TSAN
/* The lock is inline assembly, which ThreadSanitizer does not see. */
void __tsan_acquire(void *lock);
void __tsan_release(void *lock);
#endif

#define SHARDS 64
/* Hosts that are asked for the tokens of one account, in this order. */
#define CANDIDATES 4
/* Interval at which all slots are looked at. */
#define SWEEP_US (100 * BB_US_PER_MS)
/* A host that said it does not hold the group is left out this long. */
#define NOT_HOLDER_US (3 * BB_US_PER_S)
#define SHORT_VALID_MS (BB_DRAW_VALID_SHORT_US / BB_US_PER_MS)

/*
 * Tokens of one holder.
 * @falling: @tokens is clipped to a line from @top at @from_us to 0 at @until_us
 * @draw: nonce of the draw under way, 0 if none
 * @ahead: that draw asks for more than what requests wait for
 * @ahead_us: nothing is drawn ahead from this holder before
 * @plenty: the last draw ahead got more than one request needs
 * @reported: false if tokens were spent since the last draw
 * @empty_us: the holder has no more before
 * @drawn: all its tokens are drawn, which need not mean spent
 * @coming: tokens that refill in BB_DRAW_WAIT_MAX_US if its share is new, or 0
 * @not_holder_us: it is not asked before
 */
struct pool {
	uint64_t host;
	uint64_t incarnation;
	int64_t tokens;
	int64_t top;
	int64_t from_us;
	int64_t until_us;
	bool falling;
	uint64_t draw;
	bool ahead;
	int64_t ahead_us;
	bool plenty;
	bool reported;
	int64_t empty_us;
	bool drawn;
	uint32_t coming;
	int64_t not_holder_us;
};

/*
 * An account in use at this node.
 * @waiting: requests that wait
 * @turn: counts draws ahead, which the holders get in turn
 * @scarce: the last grant was cut short because the burst has few tokens
 * @low: rest of the last draw ahead at which more is drawn ahead
 * @refused_us: all requests are refused before
 * @waiting_most: requests that may wait before @waiting_most_us
 */
struct slot {
	char *name;
	uint32_t group;
	struct pool pools[CANDIDATES];
	int64_t demand;
	int64_t demand_us;
	int64_t spent;
	uint32_t waiting;
	bool queued;
	uint32_t turn;
	bool scarce;
	int64_t low;
	int64_t last_us;
	int64_t refused_us;
	uint32_t waiting_most;
	int64_t waiting_most_us;
};

struct shard {
	ck_spinlock_t lock;
	GHashTable *slots;
	GPtrArray *due;
} __attribute__((aligned(64)));

struct batch {
	uint32_t host;
	uint64_t id;
	GArray *draws;
	GPtrArray *slots;
	GArray *pools;
};

struct candidates {
	int64_t found_us;
	uint32_t nr;
	uint32_t hosts[CANDIDATES];
	uint64_t ids[CANDIDATES];
};

struct bb_drawer {
	struct bb_drawer_options o;
	uint64_t self;
	struct bb_lease_map *map;
	uint64_t nonce;
	unsigned int accounts;
	int64_t swept_us;
	struct candidates candidates[BB_LEASE_GROUPS];
	GHashTable *silent;
	GQueue flights;
	GPtrArray *batches;
	struct shard shards[SHARDS];
};

static inline void lock_shard(struct shard *s)
{
	ck_spinlock_lock(&s->lock);
#ifdef BB_TSAN
	__tsan_acquire(&s->lock);
#endif
}

static inline void unlock_shard(struct shard *s)
{
#ifdef BB_TSAN
	__tsan_release(&s->lock);
#endif
	ck_spinlock_unlock(&s->lock);
}

/* Spending, on any thread, with the shard locked. */
struct shard *bb_drawer_shard(struct bb_drawer *d, const char *name);
void bb_slot_expire(struct slot *s, int64_t now_us);
int64_t bb_slot_tokens(const struct slot *s);
void bb_slot_queue(struct shard *shard, struct slot *s);

/* Decisions, on the control thread; with the shard locked where a slot is
 * handed over. */
bool bb_slot_under_way(const struct slot *s);
void bb_drawer_forget_candidates(struct bb_drawer *d);
void bb_drawer_report(struct bb_drawer *d, struct slot *s, bool stopping,
		      int64_t now_us);
void bb_drawer_decide(struct bb_drawer *d, struct slot *s, int64_t now_us);

#endif

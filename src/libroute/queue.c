#include "baobabward/queue.h"

#include <glib.h>
#include <math.h>

#include "baobabward/clock.h"
#include "baobabward/metrics.h"
#include "baobabward/pace.h"

#define DEFAULT_SLOTS 4
#define DEFAULT_MAX_CONNECTIONS 400
#define DEFAULT_MAX_WAITING 128
#define DEFAULT_ACCOUNT_MAX_WAITING 32
#define DEFAULT_BOOKING_WAIT_US (250 * BB_US_PER_MS)
#define DEFAULT_CONNECT_INTERVAL_US (1 * BB_US_PER_MS)
#define DEFAULT_INITIAL_SERVICE_US (20 * BB_US_PER_MS)
#define DEFAULT_SLOW_SERVICE_US (100 * BB_US_PER_MS)
#define DEFAULT_ACTIVE_PERIOD_US (10 * BB_US_PER_S)
/* Weight of a new measurement in the moving average of the service time. */
#define SERVICE_TIME_GAIN 0.125
/* Time for which a request waits at least while there is a slot for it: it starts
 * at once but for the pacing of new connections. */
#define FREE_SLOT_WAIT_US (20 * BB_US_PER_MS)
/* Longest time between two checks whether waiting entries can start in time. */
#define RECHECK_INTERVAL_US (10 * BB_US_PER_MS)

/*
 * Classes of waiting entries, in the order in which they start: for each rank
 * first the entries that can be in time, then those whose answers will be late.
 */
#define CLASSES (2 * BB_QUEUE_RANKS)
/* Time constant of the counts of offered and started requests: some service
 * times, and short beside the length of a burst. */
#define COUNT_DECAY_US (4 * BB_US_PER_S)
/* Time constant of the counts for the bound over a longer time: a burst of the
 * lowest rank is served less often than the others while it lasts, and the bound
 * holds on average. */
#define LONG_DECAY_US (60 * BB_US_PER_S)
/* Odd, so that the classes of an account have different identifiers. */
#define CLASS_HASH_STEP UINT64_C(0x9e3779b97f4a7c15)
/* Most starts that a rank can be owed, or be ahead of its bound: what was long ago
 * must not displace other ranks for long, or keep it from its bound. */
#define OWED_MAX 3.0
/* Weight of a new measurement in the ratio of real to estimated waits. */
#define SLOWNESS_GAIN 0.125
/* Largest ratio of real to estimated waits. */
#define SLOWNESS_MAX 8.0
/* Least share of the starts on which the wait of a class is estimated. */
#define LEAST_SHARE 0.02
/* A new entry waits if its estimated wait by this factor is within its limit: in
 * a lasting overload the queue is always as long as the limit allows, and without
 * a margin half of the entries at its end would be refused late. */
#define ADMIT_FACTOR 1.3
/* A waiting entry is given up when its estimated wait exceeds the time left by
 * this factor, since the counts that the estimate uses vary by chance. */
#define GIVE_UP_FACTOR 1.5

enum entry_state { ENTRY_NONE, ENTRY_WAITING, ENTRY_RUNNING };

struct entry_list {
	struct bb_queue_entry *head;
	struct bb_queue_entry *tail;
	uint32_t n;
};

/**
 * struct bb_queue_account - state of one client account at this queue. With an
 * order of ranks, an account has one for each class of its requests.
 * @id: account and class
 * @class: class of its waiting entries
 * @service_us: moving average of its service time, 0 until one is measured. A
 *              request is charged with it at its start. Charging the exact time
 *              afterwards would put an account within its share into debt after
 *              one long request: its p99 was 186 ms instead of the figure in
 *              docs/measurements/fairness.md.
 * @deficit_us: service time that it may start in its turn
 * @slowness: ratio of real to estimated waits, at least 1. The estimate knows
 *            only the accounts that wait now; others come meanwhile. Used with
 *            an order of ranks.
 * @quantum_given: the quantum of this turn was added
 * @last_active_us: when a request of it was last added or finished
 * @ring: link in the ring of accounts with waiting entries
 */
struct bb_queue_account {
	uint64_t id;
	uint32_t class;
	double weight;
	double service_us;
	double deficit_us;
	double slowness;
	bool quantum_given;
	int64_t last_active_us;
	struct entry_list waiting;
	struct entry_list running;
	GList ring;
};

/**
 * struct queue_class - entries of one class that wait.
 * @ring: accounts with waiting entries, in the order of their turns
 * @ring_weight: sum of the weights of the accounts in @ring
 * @waiting: entries that wait
 */
struct queue_class {
	GQueue ring;
	double ring_weight;
	uint32_t waiting;
};

/**
 * struct rank_count - requests of one rank, with exponential decay.
 * @offered: requests that were pushed, also those that were refused
 * @fresh: those of them that were not refused before
 * @started: requests that got a slot
 * @long_fresh: as @fresh, with the longer time constant
 * @long_started: as @started, with the longer time constant
 * @owed: starts that the bound grants to the rank and that it has not had, below
 *        0 if it had more; does not decay
 */
struct rank_count {
	double offered;
	double fresh;
	double started;
	double long_fresh;
	double long_started;
	double owed;
};

/**
 * struct bb_queue - slots and fair queue of one backend server.
 * @o: options, with the defaults filled in
 * @accounts: struct bb_queue_account by identifier
 * @classes: entries that wait, by class
 * @ranked: new entries are ordered by rank
 * @counts: requests of each rank, with an order of ranks
 * @counted_us: time up to which @counts have decayed
 * @service_us: moving average of the service time of all accounts
 * @waiting: entries that wait
 * @running: entries that occupy a slot
 * @connections: open connections
 * @next_connect_us: earliest time of the next new connection
 * @next_check_us: when waiting entries are next checked for expiry
 * @next_cleanup_us: when idle accounts are next removed
 * @active_weight: sum of the weights of the accounts in @accounts
 * @pace: limit on the rate at which requests start
 */
struct bb_queue {
	struct bb_queue_options o;
	GHashTable *accounts;
	struct queue_class classes[CLASSES];
	bool ranked;
	struct rank_count counts[BB_QUEUE_RANKS];
	int64_t counted_us;
	double service_us;
	uint32_t waiting;
	uint32_t running;
	uint32_t connections;
	int64_t next_connect_us;
	int64_t next_check_us;
	int64_t next_cleanup_us;
	double active_weight;
	struct bb_pace pace;
};

static void list_add(struct entry_list *l, struct bb_queue_entry *e)
{
	e->next = NULL;
	e->prev = l->tail;
	if (l->tail)
		l->tail->next = e;
	else
		l->head = e;
	l->tail = e;
	l->n++;
}

static void list_remove(struct entry_list *l, struct bb_queue_entry *e)
{
	if (e->prev)
		e->prev->next = e->next;
	else
		l->head = e->next;
	if (e->next)
		e->next->prev = e->prev;
	else
		l->tail = e->prev;
	e->next = e->prev = NULL;
	l->n--;
}

struct bb_queue *bb_queue_new(const struct bb_queue_options *o)
{
	struct bb_queue *q = g_new0(struct bb_queue, 1);

	q->o = *o;
	if (!q->o.slots)
		q->o.slots = DEFAULT_SLOTS;
	if (!q->o.max_connections)
		q->o.max_connections = DEFAULT_MAX_CONNECTIONS;
	if (!q->o.max_waiting)
		q->o.max_waiting = DEFAULT_MAX_WAITING;
	if (!q->o.account_max_waiting)
		q->o.account_max_waiting = DEFAULT_ACCOUNT_MAX_WAITING;
	if (!q->o.booking_wait_us)
		q->o.booking_wait_us = DEFAULT_BOOKING_WAIT_US;
	if (!q->o.connect_interval_us)
		q->o.connect_interval_us = DEFAULT_CONNECT_INTERVAL_US;
	if (!q->o.initial_service_us)
		q->o.initial_service_us = DEFAULT_INITIAL_SERVICE_US;
	if (!q->o.slow_service_us)
		q->o.slow_service_us = DEFAULT_SLOW_SERVICE_US;
	if (!q->o.active_period_us)
		q->o.active_period_us = DEFAULT_ACTIVE_PERIOD_US;
	q->accounts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
	for (size_t i = 0; i < CLASSES; i++)
		g_queue_init(&q->classes[i].ring);
	q->service_us = (double)q->o.initial_service_us;
	q->next_connect_us = INT64_MIN;
	q->next_check_us = INT64_MAX;
	return q;
}

void bb_queue_delete(struct bb_queue *q)
{
	if (!q)
		return;
	g_hash_table_destroy(q->accounts);
	g_free(q);
}

void bb_queue_set_limits(struct bb_queue *q, uint32_t slots,
			 uint32_t max_connections)
{
	q->o.slots = slots;
	q->o.max_connections = max_connections;
}

void bb_queue_set_ranked(struct bb_queue *q, bool ranked)
{
	q->ranked = ranked;
}

static bool account_is_idle(const struct bb_queue *q,
			    const struct bb_queue_account *a, int64_t now_us)
{
	return !a->waiting.n && !a->running.n &&
	       now_us - a->last_active_us >= q->o.active_period_us;
}

/* Removes accounts that were not active for active_period_us. Runs at most once
 * in that time, so that the cost per request does not grow with the number of
 * accounts. */
static void remove_idle_accounts(struct bb_queue *q, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	if (now_us < q->next_cleanup_us)
		return;
	q->next_cleanup_us = now_us + q->o.active_period_us;
	q->active_weight = 0;
	g_hash_table_iter_init(&it, q->accounts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct bb_queue_account *a = value;

		if (account_is_idle(q, a, now_us))
			g_hash_table_iter_remove(&it);
		else
			q->active_weight += a->weight;
	}
}

/* State of an account for one class. That of class 0 is found by the account
 * alone. */
static struct bb_queue_account *
find_or_add_account(struct bb_queue *q, const struct bb_queue_entry *e,
		    uint32_t class, int64_t now_us)
{
	uint64_t id = e->account + class * CLASS_HASH_STEP;
	struct bb_queue_account *a = g_hash_table_lookup(q->accounts, &id);
	double weight = e->weight > 0 ? e->weight : 1;

	if (!a) {
		a = g_new0(struct bb_queue_account, 1);
		a->id = id;
		a->class = class;
		a->slowness = 1;
		a->ring.data = a;
		g_hash_table_insert(q->accounts, &a->id, a);
	}
	q->active_weight += weight - a->weight;
	if (a->waiting.n)
		q->classes[class].ring_weight += weight - a->weight;
	a->weight = weight;
	a->last_active_us = now_us;
	return a;
}

static double account_service_us(const struct bb_queue *q,
				 const struct bb_queue_account *a)
{
	return a->service_us > 0 ? a->service_us : q->service_us;
}

/* Mean time between two starts while requests of this service time wait. */
static double start_interval_us(const struct bb_queue *q, double service_us)
{
	double by_slots = service_us / fmax(q->o.slots, 1);
	double rate_per_s = q->pace.rate_per_s;

	return rate_per_s > 0 ? fmax(by_slots, BB_US_PER_S / rate_per_s) :
				by_slots;
}

static bool is_late_class(uint32_t class)
{
	return class % 2;
}

static uint32_t class_rank(uint32_t class)
{
	return class / 2;
}

static void decay_counts(struct bb_queue *q, int64_t now_us)
{
	double us = (double)(now_us - q->counted_us);
	double factor, long_factor;

	if (now_us <= q->counted_us)
		return;
	factor = exp(-us / COUNT_DECAY_US);
	long_factor = exp(-us / LONG_DECAY_US);
	q->counted_us = now_us;
	for (size_t i = 0; i < BB_QUEUE_RANKS; i++) {
		q->counts[i].offered *= factor;
		q->counts[i].fresh *= factor;
		q->counts[i].started *= factor;
		q->counts[i].long_fresh *= long_factor;
		q->counts[i].long_started *= long_factor;
	}
}

/* Requests of all ranks but that of calls, which follow from running ones. */
static struct rank_count sum_counts(const struct bb_queue *q)
{
	struct rank_count sum = { 0 };

	for (size_t i = 1; i < BB_QUEUE_RANKS; i++) {
		sum.fresh += q->counts[i].fresh;
		sum.started += q->counts[i].started;
		sum.long_fresh += q->counts[i].long_fresh;
		sum.long_started += q->counts[i].long_started;
	}
	return sum;
}

/* Whether the bound grants a rank a start that it has not had, so that one of its
 * waiting entries goes before all but calls. */
static bool is_owed(const struct bb_queue *q, uint32_t rank)
{
	const struct rank_count *c = &q->counts[rank];
	struct rank_count all;
	double bound;

	if (!q->ranked || !rank || !c->long_fresh)
		return false;
	if (c->owed >= 1)
		return true;
	all = sum_counts(q);
	bound = all.long_started / all.long_fresh * c->long_fresh *
		BB_QUEUE_FLOOR_PERMILLE / 1000;
	return c->long_started + 1 <= bound;
}

/*
 * The bound is a ratio of requests. Callers of low ranks are refused and return
 * more often, so that a ratio of arrivals would grant them several times as much.
 */
static void count_offered(struct bb_queue *q, const struct bb_queue_entry *e,
			  uint32_t rank)
{
	struct rank_count all, *c = &q->counts[rank];

	c->offered += 1;
	if (!rank || e->returned)
		return;
	c->fresh += 1;
	c->long_fresh += 1;
	all = sum_counts(q);
	c->owed += all.started / all.fresh * BB_QUEUE_FLOOR_PERMILLE / 1000;
	c->owed = fmin(c->owed, OWED_MAX);
}

static void count_started(struct bb_queue *q, uint32_t rank)
{
	q->counts[rank].started += 1;
	q->counts[rank].long_started += 1;
	q->counts[rank].owed = fmax(q->counts[rank].owed - 1, -OWED_MAX);
}

/*
 * Share of the starts that is left for a class by the requests that go before it
 * and are still to come, at the rate at which they came so far. Those that still
 * wait count as waiting, not as a sign of more to come.
 */
static double share_left(const struct bb_queue *q, uint32_t class)
{
	uint32_t before = class_rank(class) + is_late_class(class);
	double start_us = start_interval_us(q, q->service_us);
	double left = 1;

	for (uint32_t i = 0; i < before; i++) {
		uint32_t waiting = q->classes[(size_t)2 * i].waiting +
				   q->classes[(size_t)2 * i + 1].waiting;
		double gone = q->counts[i].offered - waiting;

		left -= fmax(gone, 0) * start_us / COUNT_DECAY_US;
	}
	return fmax(left, LEAST_SHARE);
}

/* Share of the starts that the bound grants to the rank of a class. */
static double share_bound(const struct bb_queue *q, uint32_t class)
{
	if (!q->ranked || is_late_class(class))
		return 0;
	return q->counts[class_rank(class)].fresh /
	       fmax(sum_counts(q).fresh, 1) * BB_QUEUE_FLOOR_PERMILLE / 1000;
}

/* Entries that start before those of a class. */
static uint32_t waiting_before(const struct bb_queue *q, uint32_t class)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < class; i++)
		n += q->classes[i].waiting;
	return n;
}

/* Estimates the time until an entry starts that has @ahead entries of its own
 * account before it: the account gets its share of the starts among the
 * accounts with waiting entries. The time for the whole class is an upper
 * bound. */
static double estimate_wait_us(const struct bb_queue *q,
			       const struct bb_queue_account *a, uint32_t ahead,
			       int64_t now_us)
{
	const struct queue_class *c = &q->classes[a->class];
	double weights = c->ring_weight + (a->waiting.n ? 0 : a->weight);
	double own = start_interval_us(q, account_service_us(q, a));
	double any = start_interval_us(q, q->service_us);
	double share = a->weight / fmax(weights, a->weight);
	double fair = ahead * own / share;
	double all = ahead * own +
		     (double)(c->waiting - MIN(c->waiting, a->waiting.n)) * any;
	double pace = (double)bb_pace_wait_us(&q->pace, 0, now_us);
	double in_order, by_bound;

	if (!a->class)
		return fmin(fair, all) + pace;
	/* One more start, since all slots are taken now. */
	in_order = (fmin(fair, all) + any * (1 + waiting_before(q, a->class))) /
		   share_left(q, a->class);
	by_bound = (fmin(fair, all) + any) /
		   fmax(share_bound(q, a->class), LEAST_SHARE);
	if (!ahead && !is_late_class(a->class) &&
	    is_owed(q, class_rank(a->class)))
		by_bound = any * (1 + c->ring.length);
	return fmin(in_order, by_bound) + pace;
}

/* The same for an entry that is added now: the other accounts have their turns
 * first. */
static double estimate_new_wait_us(const struct bb_queue *q,
				   const struct bb_queue_account *a,
				   int64_t now_us)
{
	const struct queue_class *c = &q->classes[a->class];
	double weights = c->ring_weight + (a->waiting.n ? 0 : a->weight);
	double rounds = fmax(weights, a->weight) / a->weight - 1;
	double turn = rounds * start_interval_us(q, account_service_us(q, a));

	return fmax(estimate_wait_us(q, a, a->waiting.n, now_us),
		    fmin(turn,
			 c->waiting * start_interval_us(q, q->service_us)));
}

static void learn_slowness(struct bb_queue_account *a,
			   const struct bb_queue_entry *e, int64_t now_us)
{
	double ratio = (double)(now_us - e->pushed_us) /
		       (double)MAX(e->estimated_us, 1);

	a->slowness +=
		SLOWNESS_GAIN * (fmin(ratio, SLOWNESS_MAX) - a->slowness);
	a->slowness = fmax(a->slowness, 1);
}

static void link_waiting(struct bb_queue *q, struct bb_queue_entry *e,
			 struct bb_queue_account *a)
{
	struct queue_class *c = &q->classes[a->class];

	if (!a->waiting.n) {
		g_queue_push_tail_link(&c->ring, &a->ring);
		c->ring_weight += a->weight;
	}
	e->owner = a;
	e->state = ENTRY_WAITING;
	list_add(&a->waiting, e);
	c->waiting++;
	q->waiting++;
}

static void unlink_waiting(struct bb_queue *q, struct bb_queue_entry *e)
{
	struct bb_queue_account *a = e->owner;
	struct queue_class *c = &q->classes[a->class];

	list_remove(&a->waiting, e);
	c->waiting--;
	q->waiting--;
	e->state = ENTRY_NONE;
	if (a->waiting.n)
		return;
	g_queue_unlink(&c->ring, &a->ring);
	c->ring_weight =
		g_queue_is_empty(&c->ring) ? 0 : c->ring_weight - a->weight;
	a->quantum_given = false;
	/* An unused deficit is dropped when no entry of the account waits. */
	a->deficit_us = 0;
}

static void refuse(struct bb_queue *q, struct bb_queue_entry *e,
		   enum bb_reason reason)
{
	unlink_waiting(q, e);
	if (q->o.refuse)
		q->o.refuse(q->o.data, e, reason);
}

/* Reason for the refusal of an entry that cannot start in time: its deadline,
 * or a shorter limit on its wait. */
static enum bb_reason expiry_reason(const struct bb_queue_entry *e)
{
	return e->expires_us < e->not_after_us ? BB_REASON_QUEUE_FULL :
						 BB_REASON_DEADLINE;
}

/* Account of a class with the most waiting entries for its weight, if these are
 * more than @most. */
static struct bb_queue_account *find_longest(const struct bb_queue *q,
					     uint32_t class, double most)
{
	struct bb_queue_account *longest = NULL;

	for (GList *l = q->classes[class].ring.head; l; l = l->next) {
		struct bb_queue_account *a = l->data;
		double x = a->waiting.n / a->weight;

		if (x > most) {
			most = x;
			longest = a;
		}
	}
	return longest;
}

/* The lowest class below @class with a waiting entry, else @class. A rank that
 * is owed a start keeps its last entry. */
static uint32_t find_class_to_refuse(const struct bb_queue *q, uint32_t class)
{
	for (uint32_t c = CLASSES - 1; c > class; c--)
		if (q->classes[c].waiting >
		    (!is_late_class(c) && is_owed(q, class_rank(c))))
			return c;
	return class;
}

/* Makes room in a full queue for an entry of @requester: refuses the newest
 * entry of the lowest rank below that of @requester, or else of the account that
 * exceeds its fair share by most. Returns false if there is no lower rank and no
 * account has more waiting entries per weight than @requester would have. */
static bool make_room(struct bb_queue *q,
		      const struct bb_queue_account *requester)
{
	uint32_t class = find_class_to_refuse(q, requester->class);
	bool lower = class != requester->class;
	double most = (requester->waiting.n + 1) / requester->weight;
	struct bb_queue_account *longest =
		find_longest(q, class, lower ? 0 : most);

	if (!longest)
		return false;
	if (lower)
		bb_metrics_add(BB_METRIC_QUEUE_DISPLACED, 1);
	refuse(q, longest->waiting.tail, BB_REASON_QUEUE_FULL);
	return true;
}

bool bb_queue_has_free_slot(const struct bb_queue *q, int64_t now_us)
{
	return q->running < q->o.slots && !q->waiting &&
	       !bb_pace_wait_us(&q->pace, 0, now_us);
}

void bb_queue_set_rate(struct bb_queue *q, double rate_per_s, int64_t now_us)
{
	bb_pace_set(&q->pace, rate_per_s, now_us);
}

int64_t bb_queue_rate_wait_us(const struct bb_queue *q, int64_t now_us)
{
	return bb_pace_wait_us(&q->pace, q->waiting, now_us);
}

uint32_t bb_queue_running(const struct bb_queue *q)
{
	return q->running;
}

uint32_t bb_queue_waiting(const struct bb_queue *q)
{
	return q->waiting;
}

int64_t bb_queue_mean_service_us(const struct bb_queue *q)
{
	return (int64_t)q->service_us;
}

/* Whether there is a slot for a new entry besides those for all that wait. */
static bool has_slot_for_new(const struct bb_queue *q, int64_t now_us)
{
	return q->running + q->waiting < q->o.slots &&
	       !bb_pace_wait_us(&q->pace, 0, now_us);
}

/* Sets the limits on the wait of a new entry. */
static void set_expiry(const struct bb_queue *q, struct bb_queue_entry *e,
		       bool has_slot, int64_t now_us)
{
	e->expires_us = e->not_after_us;
	if (e->max_wait_us)
		e->expires_us = MIN(e->expires_us, now_us + e->max_wait_us);
	else if (!e->idempotent &&
		 e->expires_us - now_us > q->o.booking_wait_us)
		e->expires_us = now_us + q->o.booking_wait_us;
	if (has_slot)
		e->expires_us =
			MAX(e->expires_us,
			    MIN(e->not_after_us, now_us + FREE_SLOT_WAIT_US));
	e->late_us = e->expires_us;
	if (q->ranked && e->useful_wait_us && !has_slot)
		e->late_us = MIN(e->late_us, now_us + e->useful_wait_us);
}

static uint32_t first_class(const struct bb_queue *q,
			    const struct bb_queue_entry *e)
{
	return q->ranked ? 2 * MIN(e->rank, BB_QUEUE_RANKS - 1) : 0;
}

/* Whether a new entry can start in time in the class of an account. Sets
 * @estimated_us of the entry. */
static bool fits(const struct bb_queue *q, const struct bb_queue_account *a,
		 struct bb_queue_entry *e, int64_t end_us, int64_t now_us)
{
	double wait = estimate_new_wait_us(q, a, now_us);
	bool owed = !is_late_class(a->class) &&
		    is_owed(q, class_rank(a->class));

	e->estimated_us = (int64_t)wait;
	if (!owed)
		wait *= a->class ? a->slowness * ADMIT_FACTOR : 1;
	return wait <= (double)(end_us - now_us);
}

/*
 * Account, in the class of its rank or that of late answers, in which a new
 * entry can start in time; NULL if there is none.
 */
static struct bb_queue_account *choose_class(struct bb_queue *q,
					     struct bb_queue_entry *e,
					     bool has_slot, int64_t now_us)
{
	uint32_t class = first_class(q, e);
	struct bb_queue_account *a = find_or_add_account(q, e, class, now_us);

	if (fits(q, a, e, e->late_us, now_us) || has_slot)
		return a;
	if (e->late_us >= e->expires_us)
		return NULL;
	a = find_or_add_account(q, e, class + 1, now_us);
	return fits(q, a, e, e->expires_us, now_us) ? a : NULL;
}

/* Calls have no account of their own, so the limit on the entries of one does
 * not apply to them. */
static bool has_too_many_waiting(const struct bb_queue *q,
				 const struct bb_queue_account *a)
{
	return a->waiting.n >= q->o.account_max_waiting &&
	       (!q->ranked || a->class);
}

enum bb_reason bb_queue_push(struct bb_queue *q, struct bb_queue_entry *e,
			     int64_t now_us)
{
	bool has_slot = has_slot_for_new(q, now_us);
	struct bb_queue_account *a;

	if (e->state != ENTRY_NONE)
		return BB_REASON_INTERNAL;
	if (e->not_after_us <= now_us)
		return BB_REASON_DEADLINE;
	remove_idle_accounts(q, now_us);
	if (q->ranked) {
		decay_counts(q, now_us);
		count_offered(q, e, class_rank(first_class(q, e)));
	}
	set_expiry(q, e, has_slot, now_us);
	a = find_or_add_account(q, e, first_class(q, e), now_us);
	if (has_too_many_waiting(q, a))
		return BB_REASON_QUEUE_FULL;
	a = choose_class(q, e, has_slot, now_us);
	if (!a)
		return expiry_reason(e);
	if (has_too_many_waiting(q, a) ||
	    (q->waiting >= q->o.max_waiting && !make_room(q, a)))
		return BB_REASON_QUEUE_FULL;
	if (is_late_class(a->class))
		bb_metrics_add(BB_METRIC_QUEUE_LATE, 1);
	e->pushed_us = now_us;
	link_waiting(q, e, a);
	q->next_check_us = MIN(q->next_check_us,
			       MIN(e->late_us, now_us + RECHECK_INTERVAL_US));
	return BB_REASON_NONE;
}

static bool account_is_slow(const struct bb_queue *q,
			    const struct bb_queue_account *a, int64_t now_us)
{
	const struct bb_queue_entry *oldest = a->running.head;

	if (a->service_us > (double)q->o.slow_service_us)
		return true;
	return oldest && now_us - oldest->started_us > q->o.slow_service_us;
}

/* While other accounts are active, a slow account that already has its fair
 * share of the slots does not get the last free one. */
static bool slot_allowed(const struct bb_queue *q,
			 const struct bb_queue_account *a, int64_t now_us)
{
	double share;

	/* The order of ranks decides which request gets the last slot. */
	if (q->ranked || q->o.slots - q->running > 1 || !a->running.n)
		return true;
	if (!account_is_slow(q, a, now_us))
		return true;
	share = q->o.slots * a->weight / fmax(q->active_weight, a->weight);
	return a->running.n + 1 <= share;
}

bool bb_queue_may_connect(const struct bb_queue *q, int64_t now_us)
{
	return q->connections < q->o.max_connections &&
	       now_us >= q->next_connect_us;
}

/* Whether the entry can get a connection now; if only connection pacing
 * prevents it, sets @wake_us. */
static bool connection_allowed(const struct bb_queue *q,
			       const struct bb_queue_entry *e, uint32_t idle,
			       int64_t now_us, int64_t *wake_us)
{
	if (idle && !e->needs_new_connection)
		return true;
	if (q->connections >= q->o.max_connections && !idle)
		return false;
	if (now_us >= q->next_connect_us)
		return true;
	*wake_us = MIN(*wake_us, q->next_connect_us);
	return false;
}

static bool can_start(const struct bb_queue *q,
		      const struct bb_queue_account *a, uint32_t idle,
		      int64_t now_us, int64_t *wake_us)
{
	return slot_allowed(q, a, now_us) &&
	       connection_allowed(q, a->waiting.head, idle, now_us, wake_us);
}

/* Quantum of an account in one round, by weight. The quanta of all accounts
 * with waiting entries add up to the mean service time of one request. Larger
 * quanta would let an account of high weight start many requests in a row. */
static double quantum_us(const struct bb_queue *q,
			 const struct bb_queue_account *a)
{
	double weights = q->classes[a->class].ring_weight;

	return q->service_us * a->weight / fmax(weights, a->weight);
}

/* Whether the deficit of an account covers a request. Adds the quantum once per
 * turn, and sets @missing_rounds to the number of further rounds needed. */
static bool deficit_covers_request(const struct bb_queue *q,
				   struct bb_queue_account *a,
				   double *missing_rounds)
{
	double cost = account_service_us(q, a);

	if (!a->quantum_given) {
		a->deficit_us += quantum_us(q, a);
		a->quantum_given = true;
	}
	*missing_rounds = ceil((cost - a->deficit_us) / quantum_us(q, a));
	return a->deficit_us >= cost;
}

/* Chooses the account of a class whose request starts next. An account keeps its
 * turn while its deficit covers a request. If no deficit does after a full round,
 * the quanta of as many rounds as the account with the fewest missing rounds
 * needs are added at once, so the cost is two passes over the ring. */
static struct bb_queue_account *
next_account_of_class(struct bb_queue *q, uint32_t class, uint32_t idle,
		      int64_t now_us, int64_t *wake_us)
{
	GQueue *ring = &q->classes[class].ring;
	struct bb_queue_account *best = NULL;
	double fewest_rounds = INFINITY;
	double missing_rounds;

	for (guint n = ring->length; n; n--) {
		struct bb_queue_account *a = ring->head->data;

		if (can_start(q, a, idle, now_us, wake_us)) {
			if (deficit_covers_request(q, a, &missing_rounds))
				return a;
			if (missing_rounds < fewest_rounds) {
				fewest_rounds = missing_rounds;
				best = a;
			}
		}
		a->quantum_given = false;
		g_queue_push_tail_link(ring, g_queue_pop_head_link(ring));
	}
	for (GList *l = ring->head; l && best; l = l->next) {
		struct bb_queue_account *a = l->data;

		if (can_start(q, a, idle, now_us, wake_us))
			a->deficit_us += fewest_rounds * quantum_us(q, a);
	}
	return best;
}

/* Class of the lowest rank that is owed a start and has an entry that can be in
 * time, else 0. Calls that wait go first. */
static uint32_t find_owed_class(const struct bb_queue *q)
{
	if (!q->ranked || q->classes[0].waiting)
		return 0;
	for (uint32_t c = CLASSES - 1; c > 1; c--)
		if (q->classes[c].waiting && !is_late_class(c) &&
		    is_owed(q, class_rank(c)))
			return c;
	return 0;
}

static struct bb_queue_account *next_account(struct bb_queue *q, uint32_t idle,
					     int64_t now_us, int64_t *wake_us)
{
	uint32_t owed = find_owed_class(q);
	struct bb_queue_account *a = NULL;

	if (owed)
		a = next_account_of_class(q, owed, idle, now_us, wake_us);
	for (uint32_t i = 0; i < CLASSES && !a; i++)
		a = next_account_of_class(q, i, idle, now_us, wake_us);
	return a;
}

static void assign_connection(struct bb_queue *q, struct bb_queue_entry *e,
			      uint32_t idle, int64_t now_us)
{
	e->opens_connection = e->needs_new_connection || !idle;
	e->closes_idle = false;
	if (!e->opens_connection)
		return;
	if (q->connections >= q->o.max_connections)
		e->closes_idle = true;
	else
		q->connections++;
	q->next_connect_us = now_us + q->o.connect_interval_us;
}

struct bb_queue_entry *bb_queue_pop(struct bb_queue *q, uint32_t idle,
				    int64_t now_us, int64_t *wake_us)
{
	struct bb_queue_account *a;
	struct bb_queue_entry *e;
	int64_t pace_us;

	*wake_us = INT64_MAX;
	if (q->ranked)
		decay_counts(q, now_us);
	for (;;) {
		if (q->running >= q->o.slots || !q->waiting)
			return NULL;
		pace_us = bb_pace_wait_us(&q->pace, 0, now_us);
		if (pace_us) {
			*wake_us = now_us + pace_us;
			return NULL;
		}
		a = next_account(q, idle, now_us, wake_us);
		if (!a)
			return NULL;
		e = a->waiting.head;
		if (e->expires_us > now_us)
			break;
		refuse(q, e, expiry_reason(e));
	}
	/* Rounding errors may leave the deficit a little below the charge. */
	a->deficit_us = fmax(a->deficit_us - account_service_us(q, a), 0);
	unlink_waiting(q, e);
	if (a->class)
		learn_slowness(a, e, now_us);
	if (q->ranked)
		count_started(q, class_rank(a->class));
	assign_connection(q, e, idle, now_us);
	bb_pace_spend(&q->pace, now_us);
	e->started_us = now_us;
	e->state = ENTRY_RUNNING;
	list_add(&a->running, e);
	q->running++;
	*wake_us = INT64_MAX;
	return e;
}

static double moving_average(double old, double x)
{
	return old > 0 ? old + SERVICE_TIME_GAIN * (x - old) : x;
}

void bb_queue_finish(struct bb_queue *q, struct bb_queue_entry *e,
		     bool measured, int64_t now_us)
{
	struct bb_queue_account *a = e->owner;
	double elapsed_us = (double)MAX(now_us - e->started_us, 1);

	if (e->state != ENTRY_RUNNING)
		return;
	list_remove(&a->running, e);
	q->running--;
	e->state = ENTRY_NONE;
	a->last_active_us = now_us;
	if (!measured)
		return;
	a->service_us = moving_average(a->service_us, elapsed_us);
	q->service_us = moving_average(q->service_us, elapsed_us);
}

/* Moves an entry whose answer will be late behind those that can be in time.
 * Returns false if it cannot start before its deadline there. */
static bool move_to_late(struct bb_queue *q, struct bb_queue_entry *e,
			 int64_t now_us)
{
	uint32_t class = e->owner->class + 1;
	struct bb_queue_account *a;

	if (is_late_class(e->owner->class) || e->late_us >= e->expires_us)
		return false;
	a = find_or_add_account(q, e, class, now_us);
	if (a->waiting.n >= q->o.account_max_waiting ||
	    estimate_new_wait_us(q, a, now_us) >
		    (double)(e->expires_us - now_us))
		return false;
	unlink_waiting(q, e);
	link_waiting(q, e, a);
	bb_metrics_add(BB_METRIC_QUEUE_LATE, 1);
	return true;
}

/* Refuses the entries of one account that cannot start in time, or moves them to
 * the late ones; returns the earliest expiry of the remaining ones. */
static int64_t expire_account(struct bb_queue *q, struct bb_queue_account *a,
			      int64_t now_us)
{
	double factor = a->class ? GIVE_UP_FACTOR : 1;
	struct bb_queue_entry *e = a->waiting.head;
	int64_t next_us = INT64_MAX;
	uint32_t ahead = 0;

	while (e) {
		struct bb_queue_entry *next = e->next;
		int64_t end_us = is_late_class(a->class) ? e->expires_us :
							   e->late_us;
		double left = (double)(end_us - now_us);

		if (left > 0 &&
		    estimate_wait_us(q, a, ahead, now_us) <= left * factor) {
			next_us = MIN(next_us, end_us);
			ahead++;
			e = next;
			continue;
		}
		if (a->class)
			learn_slowness(a, e, now_us);
		if (!move_to_late(q, e, now_us))
			refuse(q, e, expiry_reason(e));
		e = next;
	}
	return next_us;
}

int64_t bb_queue_expire(struct bb_queue *q, int64_t now_us)
{
	int64_t next_us = INT64_MAX;

	if (now_us < q->next_check_us)
		return q->next_check_us;
	if (q->ranked)
		decay_counts(q, now_us);
	for (size_t i = 0; i < CLASSES; i++) {
		GList *l = q->classes[i].ring.head;

		while (l) {
			struct bb_queue_account *a = l->data;

			l = l->next;
			next_us = MIN(next_us, expire_account(q, a, now_us));
		}
	}
	q->next_check_us = q->waiting ?
				   MIN(next_us, now_us + RECHECK_INTERVAL_US) :
				   INT64_MAX;
	return q->next_check_us;
}

bool bb_queue_cancel(struct bb_queue *q, struct bb_queue_entry *e)
{
	if (e->state != ENTRY_WAITING)
		return false;
	unlink_waiting(q, e);
	return true;
}

size_t bb_queue_drain(struct bb_queue *q, enum bb_reason reason)
{
	size_t n = 0;

	for (size_t i = 0; i < CLASSES; i++) {
		GQueue *ring = &q->classes[i].ring;

		while (ring->head) {
			struct bb_queue_account *a = ring->head->data;

			refuse(q, a->waiting.head, reason);
			n++;
		}
	}
	q->next_check_us = INT64_MAX;
	return n;
}

/* Requests that run at once when they start at the limited rate. */
static uint32_t slots_in_use(const struct bb_queue *q)
{
	double at_once = q->pace.rate_per_s * q->service_us / BB_US_PER_S;

	if (!(q->pace.rate_per_s > 0) || at_once >= q->o.slots)
		return q->o.slots;
	return MAX(1, (uint32_t)ceil(at_once));
}

struct bb_load bb_queue_load(const struct bb_queue *q, int64_t now_us)
{
	struct bb_load load = {
		.in_flight = q->running,
		.queued = q->waiting,
		.slots = slots_in_use(q),
	};

	if (bb_pace_wait_us(&q->pace, 0, now_us))
		load.in_flight = MAX(load.in_flight, load.slots);
	return load;
}

void bb_queue_connection_opened(struct bb_queue *q, int64_t now_us)
{
	q->connections++;
	q->next_connect_us = now_us + q->o.connect_interval_us;
}

void bb_queue_connection_closed(struct bb_queue *q)
{
	if (q->connections)
		q->connections--;
}

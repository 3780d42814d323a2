#include "baobabward/queue.h"

#include <glib.h>
#include <math.h>

#include "baobabward/clock.h"
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

enum entry_state { ENTRY_NONE, ENTRY_WAITING, ENTRY_RUNNING };

struct entry_list {
	struct bb_queue_entry *head;
	struct bb_queue_entry *tail;
	uint32_t n;
};

/**
 * struct bb_queue_account - state of one client account at this queue.
 * @service_us: moving average of its service time, 0 until one is measured. A
 *              request is charged with it at its start. Charging the exact time
 *              afterwards would put an account within its share into debt after
 *              one long request: its p99 was 186 ms instead of the figure in
 *              docs/measurements/fairness.md.
 * @deficit_us: service time that it may start in its turn
 * @quantum_given: the quantum of this turn was added
 * @last_active_us: when a request of it was last added or finished
 * @ring: link in the ring of accounts with waiting entries
 */
struct bb_queue_account {
	uint64_t id;
	double weight;
	double service_us;
	double deficit_us;
	bool quantum_given;
	int64_t last_active_us;
	struct entry_list waiting;
	struct entry_list running;
	GList ring;
};

/**
 * struct bb_queue - slots and fair queue of one backend server.
 * @o: options, with the defaults filled in
 * @accounts: struct bb_queue_account by identifier
 * @ring: accounts with waiting entries, in the order of their turns
 * @ring_weight: sum of the weights of the accounts in @ring
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
	GQueue ring;
	double ring_weight;
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
	g_queue_init(&q->ring);
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

static struct bb_queue_account *
find_or_add_account(struct bb_queue *q, const struct bb_queue_entry *e,
		    int64_t now_us)
{
	struct bb_queue_account *a;
	double weight = e->weight > 0 ? e->weight : 1;

	remove_idle_accounts(q, now_us);
	a = g_hash_table_lookup(q->accounts, &e->account);
	if (!a) {
		a = g_new0(struct bb_queue_account, 1);
		a->id = e->account;
		a->ring.data = a;
		g_hash_table_insert(q->accounts, &a->id, a);
	}
	q->active_weight += weight - a->weight;
	if (a->waiting.n)
		q->ring_weight += weight - a->weight;
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

/* Estimates the time until an entry starts that has @ahead entries of its own
 * account before it: the account gets its share of the starts among the
 * accounts with waiting entries. The time for the whole queue is an upper
 * bound. */
static double estimate_wait_us(const struct bb_queue *q,
			       const struct bb_queue_account *a, uint32_t ahead,
			       int64_t now_us)
{
	double weights = q->ring_weight + (a->waiting.n ? 0 : a->weight);
	double own = start_interval_us(q, account_service_us(q, a));
	double share = a->weight / fmax(weights, a->weight);
	double fair = ahead * own / share;
	double all = ahead * own +
		     (double)(q->waiting - MIN(q->waiting, a->waiting.n)) *
			     start_interval_us(q, q->service_us);

	return fmin(fair, all) + (double)bb_pace_wait_us(&q->pace, 0, now_us);
}

/* The same for an entry that is added now: the other accounts have their turns
 * first. */
static double estimate_new_wait_us(const struct bb_queue *q,
				   const struct bb_queue_account *a,
				   int64_t now_us)
{
	double weights = q->ring_weight + (a->waiting.n ? 0 : a->weight);
	double rounds = fmax(weights, a->weight) / a->weight - 1;
	double turn = rounds * start_interval_us(q, account_service_us(q, a));

	return fmax(estimate_wait_us(q, a, a->waiting.n, now_us),
		    fmin(turn,
			 q->waiting * start_interval_us(q, q->service_us)));
}

static void unlink_waiting(struct bb_queue *q, struct bb_queue_entry *e)
{
	struct bb_queue_account *a = e->owner;

	list_remove(&a->waiting, e);
	q->waiting--;
	e->state = ENTRY_NONE;
	if (a->waiting.n)
		return;
	g_queue_unlink(&q->ring, &a->ring);
	q->ring_weight =
		g_queue_is_empty(&q->ring) ? 0 : q->ring_weight - a->weight;
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

/* Makes room in a full queue for an entry of @requester: refuses the newest
 * entry of the account that exceeds its fair share by most. Returns false if no
 * account has more waiting entries per weight than @requester would have. */
static bool make_room(struct bb_queue *q,
		      const struct bb_queue_account *requester)
{
	struct bb_queue_account *worst = NULL;
	double most = (requester->waiting.n + 1) / requester->weight;

	for (GList *l = q->ring.head; l; l = l->next) {
		struct bb_queue_account *a = l->data;
		double x = a->waiting.n / a->weight;

		if (a != requester && x > most) {
			most = x;
			worst = a;
		}
	}
	if (!worst)
		return false;
	refuse(q, worst->waiting.tail, BB_REASON_QUEUE_FULL);
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

enum bb_reason bb_queue_push(struct bb_queue *q, struct bb_queue_entry *e,
			     int64_t now_us)
{
	bool has_slot = has_slot_for_new(q, now_us);
	struct bb_queue_account *a;
	double wait = 0;

	if (e->state != ENTRY_NONE)
		return BB_REASON_INTERNAL;
	if (e->not_after_us <= now_us)
		return BB_REASON_DEADLINE;
	a = find_or_add_account(q, e, now_us);
	if (a->waiting.n >= q->o.account_max_waiting)
		return BB_REASON_QUEUE_FULL;
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
	else
		wait = estimate_new_wait_us(q, a, now_us);
	if (wait > (double)(e->expires_us - now_us))
		return expiry_reason(e);
	if (q->waiting >= q->o.max_waiting && !make_room(q, a))
		return BB_REASON_QUEUE_FULL;
	if (!a->waiting.n) {
		g_queue_push_tail_link(&q->ring, &a->ring);
		q->ring_weight += a->weight;
	}
	e->pushed_us = now_us;
	e->owner = a;
	e->state = ENTRY_WAITING;
	list_add(&a->waiting, e);
	q->waiting++;
	q->next_check_us =
		MIN(q->next_check_us,
		    MIN(e->expires_us, now_us + RECHECK_INTERVAL_US));
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

	if (q->o.slots - q->running > 1 || !a->running.n)
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
	return q->service_us * a->weight / fmax(q->ring_weight, a->weight);
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

/* Chooses the account whose request starts next. An account keeps its turn
 * while its deficit covers a request. If no deficit does after a full round,
 * the quanta of as many rounds as the account with the fewest missing rounds
 * needs are added at once, so the cost is two passes over the ring. */
static struct bb_queue_account *next_account(struct bb_queue *q, uint32_t idle,
					     int64_t now_us, int64_t *wake_us)
{
	struct bb_queue_account *best = NULL;
	double fewest_rounds = INFINITY;
	double missing_rounds;

	for (guint n = q->ring.length; n; n--) {
		struct bb_queue_account *a = q->ring.head->data;

		if (can_start(q, a, idle, now_us, wake_us)) {
			if (deficit_covers_request(q, a, &missing_rounds))
				return a;
			if (missing_rounds < fewest_rounds) {
				fewest_rounds = missing_rounds;
				best = a;
			}
		}
		a->quantum_given = false;
		g_queue_push_tail_link(&q->ring,
				       g_queue_pop_head_link(&q->ring));
	}
	for (GList *l = q->ring.head; l && best; l = l->next) {
		struct bb_queue_account *a = l->data;

		if (can_start(q, a, idle, now_us, wake_us))
			a->deficit_us += fewest_rounds * quantum_us(q, a);
	}
	return best;
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

/* Refuses the entries of one account that cannot start in time; returns the
 * earliest expiry of the remaining ones. */
static int64_t expire_account(struct bb_queue *q, struct bb_queue_account *a,
			      int64_t now_us)
{
	struct bb_queue_entry *e = a->waiting.head;
	int64_t next_us = INT64_MAX;
	uint32_t ahead = 0;

	while (e) {
		struct bb_queue_entry *next = e->next;
		double left = (double)(e->expires_us - now_us);

		if (left <= 0 || estimate_wait_us(q, a, ahead, now_us) > left) {
			refuse(q, e, expiry_reason(e));
		} else {
			next_us = MIN(next_us, e->expires_us);
			ahead++;
		}
		e = next;
	}
	return next_us;
}

int64_t bb_queue_expire(struct bb_queue *q, int64_t now_us)
{
	int64_t next_us = INT64_MAX;
	GList *l = q->ring.head;

	if (now_us < q->next_check_us)
		return q->next_check_us;
	while (l) {
		struct bb_queue_account *a = l->data;

		l = l->next;
		next_us = MIN(next_us, expire_account(q, a, now_us));
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

	while (q->ring.head) {
		struct bb_queue_account *a = q->ring.head->data;

		refuse(q, a->waiting.head, reason);
		n++;
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

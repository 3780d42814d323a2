#include "baobabward/queue.h"

#include <glib.h>
#include <math.h>

#include "baobabward/clock.h"

#define DEFAULT_SLOTS 4
#define DEFAULT_CONNECTIONS 400
#define DEFAULT_LIMIT 128
#define DEFAULT_ACCOUNT_LIMIT 32
#define DEFAULT_BOOKING_WAIT_US (250 * BB_US_PER_MS)
#define DEFAULT_CONNECT_INTERVAL_US (1 * BB_US_PER_MS)
#define DEFAULT_SERVICE_US (20 * BB_US_PER_MS)
#define DEFAULT_SLOW_US (100 * BB_US_PER_MS)
#define DEFAULT_ACTIVE_US (10 * BB_US_PER_S)
/* Share of a new measurement in the mean service time. */
#define MEAN_SHARE 0.125
/* Estimates of waiting entries are renewed at least this often. */
#define RECHECK_US (10 * BB_US_PER_MS)
enum entry_state { ENTRY_NONE, ENTRY_WAITING, ENTRY_RUNNING };

struct entry_list {
	struct bb_queue_entry *head;
	struct bb_queue_entry *tail;
	uint32_t n;
};

/**
 * struct bb_queue_account - state of one client account at this queue.
 * @ring: link in the ring of accounts with waiting entries
 * @service_us: mean time in a slot, which a request is charged with. Charging
 *              the exact time afterwards would put an account within its share
 *              into debt after one long request: its p99 was 186 ms instead
 *              of the figure in docs/measurements/fairness.md.
 * @deficit_us: service time that it may start now
 * @quantum_given: the quantum of this turn was added
 */
struct bb_queue_account {
	uint64_t id;
	double weight;
	double service_us;
	double deficit_us;
	bool quantum_given;
	int64_t active_us;
	struct entry_list waiting;
	struct entry_list running;
	GList ring;
};

struct bb_queue {
	struct bb_queue_options o;
	GHashTable *accounts;
	GQueue ring;
	double ring_weight;
	double service_us;
	uint32_t waiting;
	uint32_t running;
	uint32_t connections;
	int64_t connect_us;
	int64_t check_us;
	int64_t sweep_us;
	double active_weight;
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
		q->o.max_connections = DEFAULT_CONNECTIONS;
	if (!q->o.max_waiting)
		q->o.max_waiting = DEFAULT_LIMIT;
	if (!q->o.account_max_waiting)
		q->o.account_max_waiting = DEFAULT_ACCOUNT_LIMIT;
	if (!q->o.booking_wait_us)
		q->o.booking_wait_us = DEFAULT_BOOKING_WAIT_US;
	if (!q->o.connect_interval_us)
		q->o.connect_interval_us = DEFAULT_CONNECT_INTERVAL_US;
	if (!q->o.initial_service_us)
		q->o.initial_service_us = DEFAULT_SERVICE_US;
	if (!q->o.slow_service_us)
		q->o.slow_service_us = DEFAULT_SLOW_US;
	if (!q->o.active_period_us)
		q->o.active_period_us = DEFAULT_ACTIVE_US;
	q->accounts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
	g_queue_init(&q->ring);
	q->service_us = (double)q->o.initial_service_us;
	q->connect_us = INT64_MIN;
	q->check_us = INT64_MAX;
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

static bool account_idle(const struct bb_queue *q,
			 const struct bb_queue_account *a, int64_t now_us)
{
	return !a->waiting.n && !a->running.n &&
	       now_us - a->active_us >= q->o.active_period_us;
}

/* Forgets accounts that were not active for active_us. Runs at most once in
 * that time, so its cost per request does not grow with the accounts. */
static void sweep(struct bb_queue *q, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	if (now_us < q->sweep_us)
		return;
	q->sweep_us = now_us + q->o.active_period_us;
	q->active_weight = 0;
	g_hash_table_iter_init(&it, q->accounts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct bb_queue_account *a = value;

		if (account_idle(q, a, now_us))
			g_hash_table_iter_remove(&it);
		else
			q->active_weight += a->weight;
	}
}

static struct bb_queue_account *
find_account(struct bb_queue *q, const struct bb_queue_entry *e, int64_t now_us)
{
	struct bb_queue_account *a;
	double weight = e->weight > 0 ? e->weight : 1;

	sweep(q, now_us);
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
	a->active_us = now_us;
	return a;
}

static double account_service_us(const struct bb_queue *q,
				 const struct bb_queue_account *a)
{
	return a->service_us > 0 ? a->service_us : q->service_us;
}

/* Estimated time until an entry with @ahead entries of its own account before
 * it starts: the account gets its share of the slots among the accounts that
 * wait, and the whole queue ahead of it is an upper bound. */
static double wait_us(const struct bb_queue *q,
		      const struct bb_queue_account *a, uint32_t ahead)
{
	double weights = q->ring_weight + (a->waiting.n ? 0 : a->weight);
	double slots = fmax(q->o.slots, 1);
	double own = account_service_us(q, a);
	double share = a->weight / fmax(weights, a->weight);
	double fair = ahead * own / (slots * share);
	double all = (ahead * own +
		      (double)(q->waiting - MIN(q->waiting, a->waiting.n)) *
			      q->service_us) /
		     slots;

	return fmin(fair, all);
}

/* The same for an entry that joins: the other accounts have a turn first. */
static double joining_wait_us(const struct bb_queue *q,
			      const struct bb_queue_account *a)
{
	double weights = q->ring_weight + (a->waiting.n ? 0 : a->weight);
	double rounds = fmax(weights, a->weight) / a->weight - 1;
	double turn = rounds * account_service_us(q, a) / fmax(q->o.slots, 1);

	return fmax(wait_us(q, a, a->waiting.n),
		    fmin(turn,
			 q->waiting * q->service_us / fmax(q->o.slots, 1)));
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
	/* Unused credit ends with the backlog. */
	a->deficit_us = 0;
}

static void refuse(struct bb_queue *q, struct bb_queue_entry *e,
		   enum bb_reason reason)
{
	unlink_waiting(q, e);
	if (q->o.refuse)
		q->o.refuse(q->o.data, e, reason);
}

/* Whether the booking bound or the request's own deadline ends the wait. */
static enum bb_reason late_reason(const struct bb_queue_entry *e)
{
	return e->expires_us < e->not_after_us ? BB_REASON_QUEUE_FULL :
						 BB_REASON_DEADLINE;
}

/* Makes room in a full queue: the account that exceeds its fair share by most
 * loses its newest entry, unless that is the asker. */
static bool make_room(struct bb_queue *q, const struct bb_queue_account *asker)
{
	struct bb_queue_account *worst = NULL;
	double most = (asker->waiting.n + 1) / asker->weight;

	for (GList *l = q->ring.head; l; l = l->next) {
		struct bb_queue_account *a = l->data;
		double x = a->waiting.n / a->weight;

		if (a != asker && x > most) {
			most = x;
			worst = a;
		}
	}
	if (!worst)
		return false;
	refuse(q, worst->waiting.tail, BB_REASON_QUEUE_FULL);
	return true;
}

bool bb_queue_has_free_slot(const struct bb_queue *q)
{
	return q->running < q->o.slots && !q->waiting;
}

int64_t bb_queue_mean_service_us(const struct bb_queue *q)
{
	return (int64_t)q->service_us;
}

enum bb_reason bb_queue_push(struct bb_queue *q, struct bb_queue_entry *e,
			     int64_t now_us)
{
	struct bb_queue_account *a;
	double wait = 0;

	if (e->state != ENTRY_NONE)
		return BB_REASON_INTERNAL;
	if (e->not_after_us <= now_us)
		return BB_REASON_DEADLINE;
	a = find_account(q, e, now_us);
	if (a->waiting.n >= q->o.account_max_waiting)
		return BB_REASON_QUEUE_FULL;
	e->expires_us = e->not_after_us;
	if (e->max_wait_us)
		e->expires_us = MIN(e->expires_us, now_us + e->max_wait_us);
	else if (!e->idempotent &&
		 e->expires_us - now_us > q->o.booking_wait_us)
		e->expires_us = now_us + q->o.booking_wait_us;
	if (q->running >= q->o.slots || q->waiting)
		wait = joining_wait_us(q, a);
	if (wait > (double)(e->expires_us - now_us))
		return late_reason(e);
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
	q->check_us = MIN(q->check_us, MIN(e->expires_us, now_us + RECHECK_US));
	return BB_REASON_NONE;
}

static bool account_slow(const struct bb_queue *q,
			 const struct bb_queue_account *a, int64_t now_us)
{
	const struct bb_queue_entry *oldest = a->running.head;

	if (a->service_us > (double)q->o.slow_service_us)
		return true;
	return oldest && now_us - oldest->started_us > q->o.slow_service_us;
}

/* The last free slot is kept from a slow account that has its fair share of
 * the slots already, while other accounts are active. */
static bool slot_allowed(const struct bb_queue *q,
			 const struct bb_queue_account *a, int64_t now_us)
{
	double share;

	if (q->o.slots - q->running > 1 || !a->running.n)
		return true;
	if (!account_slow(q, a, now_us))
		return true;
	share = q->o.slots * a->weight / fmax(q->active_weight, a->weight);
	return a->running.n + 1 <= share;
}

bool bb_queue_may_connect(const struct bb_queue *q, int64_t now_us)
{
	return q->connections < q->o.max_connections && now_us >= q->connect_us;
}

/* Whether the entry can have a connection now; sets wake_us if it is only
 * too early. */
static bool connection_allowed(const struct bb_queue *q,
			       const struct bb_queue_entry *e, uint32_t idle,
			       int64_t now_us, int64_t *wake_us)
{
	if (idle && !e->needs_new_connection)
		return true;
	if (q->connections >= q->o.max_connections && !idle)
		return false;
	if (now_us >= q->connect_us)
		return true;
	*wake_us = MIN(*wake_us, q->connect_us);
	return false;
}

static bool startable(const struct bb_queue *q,
		      const struct bb_queue_account *a, uint32_t idle,
		      int64_t now_us, int64_t *wake_us)
{
	return slot_allowed(q, a, now_us) &&
	       connection_allowed(q, a->waiting.head, idle, now_us, wake_us);
}

/* One round hands out the time of one mean request over all accounts that
 * wait. Larger quanta would let a heavy account start many in a row. */
static double quantum_us(const struct bb_queue *q,
			 const struct bb_queue_account *a)
{
	return q->service_us * a->weight / fmax(q->ring_weight, a->weight);
}

/* Whether the account can pay for a request; gives it its quantum once in each
 * turn and else tells how many further rounds it needs. */
static bool can_pay(const struct bb_queue *q, struct bb_queue_account *a,
		    double *rounds)
{
	double cost = account_service_us(q, a);

	if (!a->quantum_given) {
		a->deficit_us += quantum_us(q, a);
		a->quantum_given = true;
	}
	*rounds = ceil((cost - a->deficit_us) / quantum_us(q, a));
	return a->deficit_us >= cost;
}

/* Next account whose turn it is and that may start. An account keeps its turn
 * while its deficit lasts. When no account can pay after a full round, as many
 * rounds as the first one lacks are added at once, so the cost is two passes.
 */
static struct bb_queue_account *next_account(struct bb_queue *q, uint32_t idle,
					     int64_t now_us, int64_t *wake_us)
{
	struct bb_queue_account *best = NULL;
	double least = INFINITY;
	double rounds;

	for (guint n = q->ring.length; n; n--) {
		struct bb_queue_account *a = q->ring.head->data;

		if (startable(q, a, idle, now_us, wake_us)) {
			if (can_pay(q, a, &rounds))
				return a;
			if (rounds < least) {
				least = rounds;
				best = a;
			}
		}
		a->quantum_given = false;
		g_queue_push_tail_link(&q->ring,
				       g_queue_pop_head_link(&q->ring));
	}
	for (GList *l = q->ring.head; l && best; l = l->next) {
		struct bb_queue_account *a = l->data;

		if (startable(q, a, idle, now_us, wake_us))
			a->deficit_us += least * quantum_us(q, a);
	}
	return best;
}

static void take_connection(struct bb_queue *q, struct bb_queue_entry *e,
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
	q->connect_us = now_us + q->o.connect_interval_us;
}

struct bb_queue_entry *bb_queue_pop(struct bb_queue *q, uint32_t idle,
				    int64_t now_us, int64_t *wake_us)
{
	struct bb_queue_account *a;
	struct bb_queue_entry *e;

	*wake_us = INT64_MAX;
	for (;;) {
		if (q->running >= q->o.slots || !q->waiting)
			return NULL;
		a = next_account(q, idle, now_us, wake_us);
		if (!a)
			return NULL;
		e = a->waiting.head;
		if (e->expires_us > now_us)
			break;
		refuse(q, e, late_reason(e));
	}
	/* Rounding may leave the deficit a little below the price. */
	a->deficit_us = fmax(a->deficit_us - account_service_us(q, a), 0);
	unlink_waiting(q, e);
	take_connection(q, e, idle, now_us);
	e->started_us = now_us;
	e->state = ENTRY_RUNNING;
	list_add(&a->running, e);
	q->running++;
	*wake_us = INT64_MAX;
	return e;
}

static double mean(double old, double x)
{
	return old > 0 ? old + MEAN_SHARE * (x - old) : x;
}

void bb_queue_finish(struct bb_queue *q, struct bb_queue_entry *e,
		     bool measured, int64_t now_us)
{
	struct bb_queue_account *a = e->owner;
	double took = (double)MAX(now_us - e->started_us, 1);

	if (e->state != ENTRY_RUNNING)
		return;
	list_remove(&a->running, e);
	q->running--;
	e->state = ENTRY_NONE;
	a->active_us = now_us;
	if (!measured)
		return;
	a->service_us = mean(a->service_us, took);
	q->service_us = mean(q->service_us, took);
}

/* Hands back the late entries of one account; returns the earliest time at
 * which another one can be late. */
static int64_t expire_account(struct bb_queue *q, struct bb_queue_account *a,
			      int64_t now_us)
{
	struct bb_queue_entry *e = a->waiting.head;
	int64_t next_us = INT64_MAX;
	uint32_t ahead = 0;

	while (e) {
		struct bb_queue_entry *next = e->next;
		double left = (double)(e->expires_us - now_us);

		if (left <= 0 || wait_us(q, a, ahead) > left) {
			refuse(q, e, late_reason(e));
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

	if (now_us < q->check_us)
		return q->check_us;
	while (l) {
		struct bb_queue_account *a = l->data;

		l = l->next;
		next_us = MIN(next_us, expire_account(q, a, now_us));
	}
	q->check_us = q->waiting ? MIN(next_us, now_us + RECHECK_US) :
				   INT64_MAX;
	return q->check_us;
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
	q->check_us = INT64_MAX;
	return n;
}

struct bb_load bb_queue_load(const struct bb_queue *q)
{
	return (struct bb_load){
		.in_flight = q->running,
		.queued = q->waiting,
		.slots = q->o.slots,
	};
}

void bb_queue_connection_opened(struct bb_queue *q, int64_t now_us)
{
	q->connections++;
	q->connect_us = now_us + q->o.connect_interval_us;
}

void bb_queue_connection_closed(struct bb_queue *q)
{
	if (q->connections)
		q->connections--;
}

/*
 * Slots, pace and fair queue of one backend server, kept by its adjacent node.
 *
 * Requests that find no free slot, or that would exceed the limit on the rate
 * that the backend server names (pace.h), wait. Deficit round robin over client
 * accounts decides which request starts next. Deficits are in microseconds of
 * measured service time, so an account with slow requests starts fewer of them.
 * While other accounts are active, an account with slow requests does not get
 * the last free slot beyond its fair share, because a running request cannot be
 * preempted.
 *
 * With an order of ranks (bb_queue_set_ranked()) a request of a higher rank
 * starts first, and the rules above hold within a rank. The load pattern: callers
 * compete for too little capacity, for example one account at several times its
 * rate beside steady ones, or a burst of the least urgent kind of request. Each
 * rank is served at least BB_QUEUE_FLOOR_PERMILLE as often as all ranks on
 * average. A request whose answer would come after its target latency waits
 * behind those of its rank that can still meet theirs.
 *
 * An entry is refused as soon as the estimate of its wait shows that it cannot
 * start in time. Not thread safe; no I/O; all times are microseconds of the
 * caller's clock. Entries are embedded in the caller's requests and not owned
 * by the queue.
 */
#ifndef BAOBABWARD_QUEUE_H
#define BAOBABWARD_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "baobabward/verdict.h"
#include "baobabward/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Ranks of a queue. Rank 0 is for calls on behalf of a running request, to which
 * the bound on the share of a rank does not apply. */
#define BB_QUEUE_RANKS 8
/* Least ratio of started to offered requests of a rank, in thousandths of that
 * of all ranks together. The bound to keep is 250; the rest is for requests that
 * are refused elsewhere. */
#define BB_QUEUE_FLOOR_PERMILLE 300

struct bb_queue;
struct bb_queue_account;

/**
 * struct bb_queue_entry - a request in the queue or in a slot.
 * @account: stable identifier of the client account, for example a hash of
 *           its name; handles change between snapshots
 * @weight: weight of the client account, greater than 0
 * @not_after_us: latest start
 * @idempotent: may wait until @not_after_us; otherwise the wait is also limited
 *              to booking_wait_us of the options
 * @max_wait_us: limit on the wait that replaces booking_wait_us, 0 for none;
 *               @not_after_us still applies
 * @useful_wait_us: wait after which its answer would come after its target
 *                  latency, 0 for no such limit; used with an order of ranks only
 * @rank: 0 is the highest, ranks from BB_QUEUE_RANKS on are all the lowest; used
 *        with an order of ranks only
 * @returned: it was refused before; used with an order of ranks only
 * @needs_new_connection: must not reuse an idle connection
 * @opens_connection: set by bb_queue_pop(): open a new connection, which is
 *                    counted already
 * @closes_idle: set by bb_queue_pop(): close an idle connection first; the new
 *               one takes its place in the count
 * @pushed_us: when it was added to the queue
 * @started_us: when it got its slot
 * @expires_us: latest start after all limits on its wait
 * @late_us: start from which its answer would come after its target latency
 * @estimated_us: wait that was estimated when it was added
 * @state: outside the queue, waiting or running
 * @owner: state of its client account
 *
 * The members from @pushed_us on belong to the queue; the caller may read them.
 * Zero the struct before first use.
 */
struct bb_queue_entry {
	uint64_t account;
	double weight;
	int64_t not_after_us;
	bool idempotent;
	int64_t max_wait_us;
	int64_t useful_wait_us;
	uint32_t rank;
	bool returned;
	bool needs_new_connection;
	bool opens_connection;
	bool closes_idle;
	int64_t pushed_us;
	int64_t started_us;
	int64_t expires_us;
	int64_t late_us;
	int64_t estimated_us;
	int state;
	struct bb_queue_account *owner;
	struct bb_queue_entry *next;
	struct bb_queue_entry *prev;
};

/**
 * bb_queue_refuse_fn() - callback for a waiting entry that is refused.
 * @data: pointer from the options
 * @e: entry, no longer in the queue; may be freed
 * @reason: BB_REASON_QUEUE_FULL, BB_REASON_DEADLINE or the reason given to
 *          bb_queue_drain()
 *
 * The entry certainly did not run. The callback must not call functions of the
 * same queue.
 */
typedef void bb_queue_refuse_fn(void *data, struct bb_queue_entry *e,
				enum bb_reason reason);

/**
 * struct bb_queue_options - limits of a queue; 0 selects the default.
 * @slots: requests that the backend server may run at the same time (4)
 * @max_connections: limit on open connections (400)
 * @max_waiting: limit on waiting entries in total (128)
 * @account_max_waiting: limit on waiting entries of one account (32)
 * @booking_wait_us: limit on the wait of a non-idempotent entry (250 ms)
 * @connect_interval_us: minimum time between two new connections (1 ms)
 * @initial_service_us: assumed service time until one is measured (20 ms)
 * @slow_service_us: service time above which an account counts as slow (100 ms)
 * @active_period_us: how long an account counts as active after a request was
 *                    added or finished (10 s)
 * @refuse: called for refused entries, may be NULL
 * @data: passed to @refuse
 */
struct bb_queue_options {
	uint32_t slots;
	uint32_t max_connections;
	uint32_t max_waiting;
	uint32_t account_max_waiting;
	int64_t booking_wait_us;
	int64_t connect_interval_us;
	int64_t initial_service_us;
	int64_t slow_service_us;
	int64_t active_period_us;
	bb_queue_refuse_fn *refuse;
	void *data;
};

/**
 * bb_queue_new() - make an empty queue.
 * @o: limits and callback; copied
 *
 * Return: queue that the caller deletes.
 */
struct bb_queue *bb_queue_new(const struct bb_queue_options *o);

/**
 * bb_queue_delete() - free a queue, without a callback for entries in it.
 * @q: queue, may be NULL
 */
void bb_queue_delete(struct bb_queue *q);

/**
 * bb_queue_has_free_slot() - whether a slot is free now, no entry waits for it
 * and the limit on the rate allows a start.
 */
bool bb_queue_has_free_slot(const struct bb_queue *q, int64_t now_us);

/**
 * bb_queue_running() - number of entries that occupy a slot. Unlike the load, it
 * does not count slots that a limit on the rate keeps from use.
 */
uint32_t bb_queue_running(const struct bb_queue *q);

/**
 * bb_queue_waiting() - number of entries that wait.
 */
uint32_t bb_queue_waiting(const struct bb_queue *q);

/**
 * bb_queue_mean_service_us() - moving average of the measured service time.
 */
int64_t bb_queue_mean_service_us(const struct bb_queue *q);

/**
 * bb_queue_set_limits() - apply the limits of a new configuration.
 * @q: queue
 * @slots: new number of slots; running requests in excess of it finish
 * @max_connections: new limit on open connections
 */
void bb_queue_set_limits(struct bb_queue *q, uint32_t slots,
			 uint32_t max_connections);

/**
 * bb_queue_set_ranked() - order waiting requests by rank, or not.
 * @q: queue
 * @ranked: requests pushed from now on are ordered by their rank
 */
void bb_queue_set_ranked(struct bb_queue *q, bool ranked);

/**
 * bb_queue_set_rate() - limit the rate at which requests start.
 * @q: queue
 * @rate_per_s: requests per second, see bb_pace_set(); negative for no limit
 * @now_us: current time
 */
void bb_queue_set_rate(struct bb_queue *q, double rate_per_s, int64_t now_us);

/**
 * bb_queue_rate_wait_us() - time until the limit on the rate allows the start of
 * a request besides those that wait.
 *
 * Return: 0 if it allows one now, or if there is no limit.
 */
int64_t bb_queue_rate_wait_us(const struct bb_queue *q, int64_t now_us);

/**
 * bb_queue_push() - add a request.
 * @q: queue
 * @e: entry with the caller's members filled in
 * @now_us: current time
 *
 * If the queue is full and the account of @e is below its fair share, another
 * account's entry may be refused through the callback instead. With an order of
 * ranks, an entry of the lowest rank below that of @e is refused first.
 *
 * Return: BB_REASON_NONE, or the reason for which @e was refused; @e is then
 * not in the queue and the callback is not called for it. BB_REASON_INTERNAL if
 * @e is in the queue already; it stays there.
 */
enum bb_reason bb_queue_push(struct bb_queue *q, struct bb_queue_entry *e,
			     int64_t now_us);

/**
 * bb_queue_pop() - start the next request if a slot is free.
 * @q: queue
 * @idle: open connections that are idle and may be reused
 * @now_us: current time
 * @wake_us: set to the time of the next useful call if only connection pacing
 *           or the limit on the rate prevents a start, else to INT64_MAX
 *
 * Return: entry that now occupies a slot until bb_queue_finish(), or NULL.
 */
struct bb_queue_entry *bb_queue_pop(struct bb_queue *q, uint32_t idle,
				    int64_t now_us, int64_t *wake_us);

/**
 * bb_queue_finish() - free the slot of a request.
 * @q: queue
 * @e: entry returned by bb_queue_pop(), not yet finished
 * @measured: the time in the slot counts as a service time of the backend
 *            server; false for requests that were cancelled or did not reach
 *            it. The account was charged at the start in either case.
 * @now_us: current time
 */
void bb_queue_finish(struct bb_queue *q, struct bb_queue_entry *e,
		     bool measured, int64_t now_us);

/**
 * bb_queue_expire() - refuse entries that cannot start in time.
 * @q: queue
 * @now_us: current time
 *
 * Return: time of the next useful call, INT64_MAX when nothing waits.
 */
int64_t bb_queue_expire(struct bb_queue *q, int64_t now_us);

/**
 * bb_queue_cancel() - remove a waiting entry.
 * @q: queue
 * @e: entry that was pushed
 *
 * Return: true if it was waiting and will certainly not start; false if it
 * occupies a slot or is not in the queue.
 */
bool bb_queue_cancel(struct bb_queue *q, struct bb_queue_entry *e);

/**
 * bb_queue_drain() - refuse all waiting entries.
 * @q: queue
 * @reason: passed to the callback, for example BB_REASON_LEAVING
 *
 * Return: number of refused entries. Running requests are not affected.
 */
size_t bb_queue_drain(struct bb_queue *q, enum bb_reason reason);

/**
 * bb_queue_load() - current load, for a RESULT message.
 * @q: queue
 * @now_us: current time
 *
 * A limit on the rate reduces the slots in the load to the number of requests
 * that run at once at that rate. While it allows no start, they are all taken.
 *
 * Return: load with avoid_for_us 0.
 */
struct bb_load bb_queue_load(const struct bb_queue *q, int64_t now_us);

/**
 * bb_queue_connection_opened() - count a new connection that bb_queue_pop() did
 * not count, for example one of a health check.
 * @q: queue
 * @now_us: current time
 */
void bb_queue_connection_opened(struct bb_queue *q, int64_t now_us);

/**
 * bb_queue_connection_closed() - remove a closed connection from the count.
 * @q: queue
 */
void bb_queue_connection_closed(struct bb_queue *q);

/**
 * bb_queue_may_connect() - whether a new connection is allowed now.
 * @q: queue
 * @now_us: current time
 *
 * Return: true if connection pacing and max_connections allow it.
 */
bool bb_queue_may_connect(const struct bb_queue *q, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif

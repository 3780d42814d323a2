/*
 * Admission control at the adjacent node of a backend server: whether a request
 * is accepted, and how long it may wait for a slot.
 *
 * Under sustained overload the queue cannot absorb the excess. A request that
 * can no longer be answered within its target latency is refused at once, so
 * that its caller can try elsewhere or come back later. Requests of low
 * priority are refused first, which keeps the queue short enough for those that
 * wait.
 *
 * The functions keep no state of their own; times are microseconds of the
 * caller's monotonic clock.
 */
#ifndef BAOBABWARD_ADMISSION_H
#define BAOBABWARD_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "baobabward/breaker.h"
#include "baobabward/queue.h"
#include "baobabward/verdict.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct bb_admission_request - properties of a request that decide on its
 * admission.
 * @idempotent: it may run more than once
 * @last_resort: no other backend server is left for it, or too many have
 *               redirected it; it is admitted even if the breaker is open
 * @may_wait: it may wait for a slot; otherwise it needs one that is free now
 */
struct bb_admission_request {
	bool idempotent;
	bool last_resort;
	bool may_wait;
};

/**
 * bb_admission_check() - whether a backend server accepts a request now.
 * @a: the request
 * @q: queue of the backend server
 * @b: its breaker, NULL for none; the request may become its trial
 * @now_us: current time
 *
 * Return: BB_REASON_NONE if accepted; BB_REASON_QUEUE_FULL if no slot is free
 * for a request that may not wait; BB_REASON_EJECTED if the breaker is open.
 */
enum bb_reason bb_admission_check(const struct bb_admission_request *a,
				  const struct bb_queue *q,
				  struct bb_breaker *b, int64_t now_us);

/**
 * struct bb_wait_limits - limits on the time that a request waits for a slot.
 * @left_us: time until its deadline
 * @timeout_us: total timeout of its route
 * @target_us: target latency of its answer, 0 if unknown
 * @service_us: mean service time of the backend server
 * @priority: priority of the request, 0 is the highest
 * @ranked: the queue orders requests by rank, so that low priorities need no
 *          shorter wait
 */
struct bb_wait_limits {
	int64_t left_us;
	int64_t timeout_us;
	int64_t target_us;
	int64_t service_us;
	uint32_t priority;
	bool ranked;
};

/**
 * bb_admission_wait_us() - longest wait for a slot after which the request can
 * still be answered within its target latency, reduced for low priorities
 * unless the queue orders requests by rank.
 * @r: limits
 *
 * Return: time of at least 1, or 0 if the target latency is unknown and the
 * limits of the queue apply.
 */
int64_t bb_admission_wait_us(const struct bb_wait_limits *r);

/**
 * bb_admission_late_wait_us() - longest wait for a slot after which the request
 * can still be answered before its deadline.
 * @r: limits
 *
 * Return: time of at least 1.
 */
int64_t bb_admission_late_wait_us(const struct bb_wait_limits *r);

#ifdef __cplusplus
}
#endif
#endif

/*
 * Admission of a request at the adjacent node of a backend server, and how long
 * it may wait there.
 *
 * Load pattern: more requests than slots, for longer than the queue can hold
 * back. A request whose answer could not come within its target latency is
 * refused at once, so that its caller can go elsewhere or come back, and less
 * urgent ones are turned away first, so that the queue stays short enough for
 * those that wait.
 *
 * Pure; times are microseconds of the caller's monotonic clock.
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
 * struct bb_admission_request - a request as far as its admission depends on it.
 * @idempotent: it may run more than once
 * @last_resort: nothing else is left for it
 * @may_wait: it may wait for a slot
 */
struct bb_admission_request {
	bool idempotent;
	bool last_resort;
	bool may_wait;
};

/**
 * bb_admission_check() - whether a backend server takes a request now.
 * @a: the request
 * @q: queue of the backend server
 * @b: its breaker, NULL for none; a trial may begin
 * @now_us: current time
 *
 * Return: BB_REASON_NONE, BB_REASON_QUEUE_FULL or BB_REASON_EJECTED.
 */
enum bb_reason bb_admission_check(const struct bb_admission_request *a,
				  const struct bb_queue *q,
				  struct bb_breaker *b, int64_t now_us);

/**
 * struct bb_wait_limits - what bounds the wait of a request.
 * @left_us: time until the end of the request
 * @timeout_us: time that its route gives it in all
 * @target_us: time in which its answer is of full use, 0 if unknown
 * @service_us: mean time for which a request runs
 * @priority: of the request, 0 is the highest
 */
struct bb_wait_limits {
	int64_t left_us;
	int64_t timeout_us;
	int64_t target_us;
	int64_t service_us;
	uint32_t priority;
};

/**
 * bb_admission_wait_us() - longest useful wait of a request for a slot.
 *
 * Return: time of at least 1, or 0 if the target is unknown and the bounds of
 * the queue apply.
 */
int64_t bb_admission_wait_us(const struct bb_wait_limits *r);

#ifdef __cplusplus
}
#endif
#endif

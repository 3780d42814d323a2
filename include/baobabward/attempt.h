/*
 * Attempts of one request at its entry node: which backend server comes next,
 * whether the request may wait there, and whether another attempt follows.
 *
 * Load pattern: when most slots are taken, a request that waits at the first
 * backend server stands in a queue while another one has a free slot. The first
 * attempts therefore only look for a free slot, which costs a round trip each;
 * the last one waits where the answers told the least load. A backend server
 * that gets no work for a while (ejected, leaving, breaker open) redirects,
 * which loads nobody and is bounded by a number. All else that was tried in
 * vain draws on the retry budget.
 *
 * Pure; times are microseconds of the caller's monotonic clock.
 */
#ifndef BAOBABWARD_ATTEMPT_H
#define BAOBABWARD_ATTEMPT_H

#include <stdbool.h>
#include <stdint.h>

#include "baobabward/balance.h"
#include "baobabward/retry.h"
#include "baobabward/verdict.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Most attempts of a request, redirects included. */
#define BB_ATTEMPTS_MAX 16

/**
 * struct bb_attempt_limits - what bounds the attempts of a request.
 * @idempotent: it may run more than once
 * @max_backends_reached: backend servers that it may reach, 0 for no bound of its own
 * @max_slot_searches: backend servers asked for a free slot before it waits
 * @deadline_us: end of the request
 */
struct bb_attempt_limits {
	bool idempotent;
	uint32_t max_backends_reached;
	uint32_t max_slot_searches;
	int64_t deadline_us;
};

/**
 * struct bb_attempt_history - attempts so far; all zero before the first.
 * @nr: attempts, the present one included
 * @backends: handles of their backend servers
 * @had_no_slot: those that had no free slot
 * @redirects: attempts that loaded no backend server
 * @failed_searches: those of them that found no free slot
 * @backends_reached: attempts that may have reached a backend server
 * @last_resort: the present attempt goes to a backend server that avoids work
 * @may_wait: it may wait there; others only look for a free slot
 * @verdict: whether any of them may have run the request
 */
struct bb_attempt_history {
	uint32_t nr;
	uint32_t backends[BB_ATTEMPTS_MAX];
	bool had_no_slot[BB_ATTEMPTS_MAX];
	uint32_t redirects;
	uint32_t failed_searches;
	uint32_t backends_reached;
	bool last_resort;
	bool may_wait;
	enum bb_verdict verdict;
};

/**
 * bb_attempt_choose() - choose the backend server of the next attempt.
 * @m: attempts so far; the choice is added
 * @r: bounds
 * @b: balance of the service
 * @now_us: current time
 *
 * Return: choice, with BB_NO_ROW when no backend server is left.
 */
struct bb_choice bb_attempt_choose(struct bb_attempt_history *m,
				   const struct bb_attempt_limits *r,
				   struct bb_balance *b, int64_t now_us);

/**
 * struct bb_attempt_outcome - how an attempt ended.
 * @verdict: whether it ran
 * @reason: BB_REASON_NONE for an answer of the backend server
 * @status: status of that answer
 */
struct bb_attempt_outcome {
	enum bb_verdict verdict;
	enum bb_reason reason;
	unsigned int status;
};

/**
 * bb_attempt_found_no_slot() - the attempt only found no free slot.
 */
bool bb_attempt_found_no_slot(const struct bb_attempt_history *m,
			      const struct bb_attempt_limits *r,
			      const struct bb_attempt_outcome *e,
			      int64_t now_us);

/**
 * bb_attempt_decide_retry() - whether another attempt follows; takes note of the end.
 * @m: attempts so far
 * @r: bounds
 * @e: end of the present attempt
 * @budget: retry budget of the service; NULL if no attempt may follow
 * @now_us: current time
 */
bool bb_attempt_decide_retry(struct bb_attempt_history *m,
			     const struct bb_attempt_limits *r,
			     const struct bb_attempt_outcome *e,
			     struct bb_retry_budget *budget, int64_t now_us);

/**
 * bb_attempt_count_without_redirects() - attempts that counted against the bound on retries, the
 * present one included.
 */
uint32_t bb_attempt_count_without_redirects(const struct bb_attempt_history *m);

#ifdef __cplusplus
}
#endif
#endif

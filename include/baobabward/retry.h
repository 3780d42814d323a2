/*
 * Retry decision and retry budget of an entry node.
 *
 * A request is sent again only if it is idempotent or certainly did not run,
 * and never after its deadline. Redirects (the chosen backend server gets no
 * work, and another one may) load no backend server and are bounded by the
 * number of attempts only. Every other retry takes from the budget: a share
 * of the first attempts plus a small reserve. A full queue is a sign of
 * overload: one such retry at most for a request, at twice the price, and only
 * while the budget is at least half full. An answer with a server error is
 * passed on unless a retry gets a better one; such retries leave half of the
 * budget to requests that have no answer at all.
 */
#ifndef BAOBABWARD_RETRY_H
#define BAOBABWARD_RETRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "baobabward/verdict.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Attempts of one request, the first one included. */
#define BB_RETRY_ATTEMPTS_MAX 3

/**
 * enum bb_retry_class - how a failed attempt may be followed up.
 * @BB_RETRY_NEVER: report the failure
 * @BB_RETRY_REDIRECT: choose another backend server, free of charge
 * @BB_RETRY_CHARGED: retry if the budget allows it
 * @BB_RETRY_OVERLOAD: retry once, at twice the price
 * @BB_RETRY_SERVER_ERROR: the backend server answered with an error; retry while
 *                     the budget is at least half full
 */
enum bb_retry_class {
	BB_RETRY_NEVER,
	BB_RETRY_REDIRECT,
	BB_RETRY_CHARGED,
	BB_RETRY_OVERLOAD,
	BB_RETRY_SERVER_ERROR,
	BB_RETRY_CLASS_COUNT
};

/**
 * enum bb_retry_decision - decision after a failed attempt.
 * @BB_RETRY_NO: report the failure
 * @BB_RETRY_YES: send again to another backend server
 * @BB_RETRY_OVER_BUDGET: report the failure; the budget is used up
 */
enum bb_retry_decision {
	BB_RETRY_NO,
	BB_RETRY_YES,
	BB_RETRY_OVER_BUDGET,
};

/**
 * struct bb_retry_limits - what a budget earns; in thousandths of a retry.
 * @first_attempt_tokens: for a first attempt
 * @max_tokens: most that can be saved up, so that a burst stays small
 * @initial_tokens: saved at the start of a node
 * @reserve_interval_us: time in which a quiet node gets one retry
 */
struct bb_retry_limits {
	int64_t first_attempt_tokens;
	int64_t max_tokens;
	int64_t initial_tokens;
	int64_t reserve_interval_us;
};

/**
 * bb_retry_limits_default() - limits of a node that counts alone.
 *
 * Return: 10% of the first attempts and one retry a second.
 */
struct bb_retry_limits bb_retry_limits_default(void);

/**
 * bb_retry_limits_of_fleet() - limits whose sum over all nodes is bounded.
 * @percent: share of the first attempts
 * @slack: retries beyond that share that the fleet may make at once
 * @hosts: number of nodes, at least 1
 *
 * The nodes may together save up the slack, each one retry at least. They start
 * without any, so that a restart of all adds nothing.
 */
struct bb_retry_limits bb_retry_limits_of_fleet(uint32_t percent,
						uint32_t slack, size_t hosts);

/**
 * struct bb_retry_budget - budget of a node; shared by all its threads.
 * @tokens: thousandths of a retry that are left
 * @refilled_us: time up to which the reserve was refilled
 * @limits: may be replaced by the thread that decides
 *
 * Initialize with bb_retry_budget_init(). All members are accessed
 * atomically.
 */
struct bb_retry_budget {
	int64_t tokens;
	int64_t refilled_us;
	struct bb_retry_limits limits;
};

/**
 * struct bb_retry_attempt - what is known after a failed attempt.
 * @idempotent: of the route
 * @verdict: of the attempt
 * @reason: of the attempt
 * @attempts: attempts made so far, at least 1
 * @deadline_us: deadline of the request
 * @min_attempt_us: time that a further attempt needs at least
 * @status: status code of the backend server's answer; counts if @reason is
 *          BB_REASON_NONE
 */
struct bb_retry_attempt {
	bool idempotent;
	enum bb_verdict verdict;
	enum bb_reason reason;
	uint32_t attempts;
	int64_t deadline_us;
	int64_t min_attempt_us;
	unsigned int status;
};

/**
 * bb_retry_budget_init() - start with what the limits give at first.
 * @b: budget
 * @limits: copied
 * @now_us: current time
 */
void bb_retry_budget_init(struct bb_retry_budget *b,
			  const struct bb_retry_limits *limits, int64_t now_us);

/**
 * bb_retry_budget_deposit() - count a first attempt, which earns a tenth of a
 * retry; safe from any thread.
 * @b: budget
 */
void bb_retry_budget_deposit(struct bb_retry_budget *b);

/**
 * bb_retry_classify() - what a failed attempt permits, apart from the budget.
 * @a: the attempt
 * @now_us: current time
 *
 * Return: class; BB_RETRY_NEVER if a second execution could result.
 */
enum bb_retry_class bb_retry_classify(const struct bb_retry_attempt *a,
				      int64_t now_us);

/**
 * bb_retry_decide() - decide and charge the budget; safe from any thread.
 * @b: budget
 * @a: the attempt
 * @now_us: current time
 *
 * Return: decision; counts retries in the metrics.
 */
enum bb_retry_decision bb_retry_decide(struct bb_retry_budget *b,
				       const struct bb_retry_attempt *a,
				       int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
